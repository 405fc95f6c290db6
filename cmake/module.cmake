# thornhollow_module(NAME DEPS target...)
#
# One folder is one module. Its sources become the library th_NAME, its
# *_test.cc the program NAME_test (one CTest entry for each test source), its
# *_benchmark.cc the program NAME_benchmark, and each *_main.cc a program named
# after it: foo_bar_main.cc becomes foo_bar.
function(thornhollow_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
  set(sources "")
  set(tests "")
  set(benchmarks "")
  set(programs "")
  file(GLOB_RECURSE all CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} *.cc)
  foreach(source IN LISTS all)
    if(source MATCHES "_test\\.cc$")
      list(APPEND tests ${source})
    elseif(source MATCHES "_benchmark\\.cc$")
      list(APPEND benchmarks ${source})
    elseif(source MATCHES "_main\\.cc$")
      list(APPEND programs ${source})
    else()
      list(APPEND sources ${source})
    endif()
  endforeach()

  if(THORNHOLLOW_DAEMON_ONLY)
    set(tests "")
    set(benchmarks "")
  endif()

  if(sources)
    add_library(th_${NAME} STATIC ${sources})
    target_include_directories(th_${NAME} PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(th_${NAME} PUBLIC ${ARG_DEPS})
  else()
    add_library(th_${NAME} INTERFACE)
    target_include_directories(th_${NAME} INTERFACE ${PROJECT_SOURCE_DIR})
    target_link_libraries(th_${NAME} INTERFACE ${ARG_DEPS})
  endif()

  foreach(source IN LISTS programs)
    get_filename_component(program ${source} NAME_WE)
    string(REGEX REPLACE "_main$" "" program ${program})
    string(REPLACE "_" "-" dashed ${program})
    add_executable(${program}_program ${source})
    set_target_properties(${program}_program PROPERTIES
      OUTPUT_NAME ${dashed}
      RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
    target_link_libraries(${program}_program PRIVATE th_${NAME} gflags)
  endforeach()

  if(tests)
    add_executable(${NAME}_test ${tests})
    target_link_libraries(${NAME}_test PRIVATE th_${NAME} th_doctest_main ${ARG_TEST_DEPS})
    foreach(source IN LISTS tests)
      get_filename_component(stem ${source} NAME_WE)
      add_test(NAME ${NAME}.${stem}
        COMMAND ${NAME}_test "--source-file=*/${source}"
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
      set_tests_properties(${NAME}.${stem} PROPERTIES
        ENVIRONMENT "THORNHOLLOW_BIN=${PROJECT_BINARY_DIR}/bin"
        # A filter that selects nothing would otherwise count as a pass.
        FAIL_REGULAR_EXPRESSION "test cases: +0 ")
    endforeach()
  endif()

  if(benchmarks)
    add_executable(${NAME}_benchmark ${benchmarks})
    set_target_properties(${NAME}_benchmark PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
    target_link_libraries(${NAME}_benchmark PRIVATE
      th_${NAME} benchmark::benchmark_main ${ARG_TEST_DEPS})
  endif()
endfunction()
