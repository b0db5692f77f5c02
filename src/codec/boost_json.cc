// Boost.JSON is used header-only; this is the one translation unit with its definitions.
#include <boost/json/src.hpp>
