// Boost.JSON is compiled in, so that no library has to be linked.
#include <boost/json/src.hpp>
