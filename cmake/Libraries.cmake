# The embeddable library: decisions and state, without input, output, clocks or message encoding.
file(GLOB_RECURSE library_sources CONFIGURE_DEPENDS
  src/model/*.cc src/errors/*.cc src/state/*.cc src/decision/*.cc src/routing/*.cc src/membership/*.cc src/workload/*.cc)
add_library(clementineloom STATIC ${library_sources})
add_library(clementineloom::clementineloom ALIAS clementineloom)
target_include_directories(clementineloom PUBLIC include)
target_link_libraries(clementineloom PUBLIC Boost::headers Threads::Threads PRIVATE clementineloom_options)

# Adds a module of the daemons, named after its folder below src, with the modules and libraries that
# it needs.
function(add_module name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/${name}/*.cc)
  list(FILTER sources EXCLUDE REGEX "main\\.cc$")
  if(sources)
    add_library(loom_${name} STATIC ${sources})
    target_include_directories(loom_${name} PUBLIC src)
    target_link_libraries(loom_${name} PUBLIC clementineloom ${ARGN} PRIVATE clementineloom_options)
  else()
    add_library(loom_${name} INTERFACE)
    target_include_directories(loom_${name} INTERFACE src)
    target_link_libraries(loom_${name} INTERFACE clementineloom ${ARGN})
  endif()
endfunction()

# Adds a program whose main.cc is in the folder of its module.
function(add_program program module)
  if(EXISTS ${PROJECT_SOURCE_DIR}/src/${module}/main.cc)
    add_executable(${program} src/${module}/main.cc)
    target_link_libraries(${program} PRIVATE loom_${module} ${ARGN} clementineloom_options)
  endif()
endfunction()

add_module(codec)
add_module(logging log4cxx)
add_module(metrics)
add_module(process)
add_module(settings loom_codec)
add_module(net loom_codec)
add_module(platform loom_codec loom_net)
add_module(rpc loom_net loom_logging jsonrpccpp-server jsonrpccpp-client jsonrpccpp-common jsoncpp)
find_path(JSONCPP_INCLUDE_DIR json/json.h PATH_SUFFIXES jsoncpp REQUIRED)
target_include_directories(loom_rpc SYSTEM PRIVATE ${JSONCPP_INCLUDE_DIR})
# The client half of libjsonrpccpp 0.7.0 has dynamic exception specifications, which C++17 removed.
set_source_files_properties(src/rpc/detail/json_rpc_encoder.cc PROPERTIES COMPILE_OPTIONS "-std=c++14;-Wno-deprecated;-Wno-deprecated-declarations")
set_source_files_properties(src/rpc/detail/json_rpc_dispatcher.cc PROPERTIES COMPILE_OPTIONS "-Wno-deprecated-declarations")
add_module(gateway loom_platform loom_rpc loom_settings loom_metrics loom_logging loom_process)
add_module(scheduler loom_platform loom_rpc loom_settings loom_metrics loom_logging loom_process)
add_module(ctl loom_platform loom_rpc loom_settings)

add_module(entry loom_codec loom_net loom_settings loom_metrics loom_logging loom_process)

# The adapter to the users' platform: names, formats and calls.
file(GLOB adapter_sources CONFIGURE_DEPENDS platform/*.cc)
list(FILTER adapter_sources EXCLUDE REGEX "main\\.cc$")
add_library(loom_adapter STATIC ${adapter_sources})
target_include_directories(loom_adapter PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(loom_adapter PUBLIC loom_entry PRIVATE clementineloom_options)
add_executable(loom-entry platform/main.cc)
target_link_libraries(loom-entry PRIVATE loom_adapter clementineloom_options)

add_program(loom-gateway gateway)
add_program(loom-scheduler scheduler)
add_program(loomctl ctl)
