# cv_library (NAME DEPENDENCY...) builds the static library cv_NAME from the *.c
# files of the current folder, and its tests (cv_tests).
find_package (PkgConfig REQUIRED)
find_package (Threads REQUIRED)
find_package (GTest REQUIRED)
pkg_check_modules (JSONC REQUIRED IMPORTED_TARGET json-c)
pkg_check_modules (MSGPACK REQUIRED IMPORTED_TARGET msgpack)
pkg_check_modules (ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules (ULFIUS REQUIRED IMPORTED_TARGET libulfius)
pkg_check_modules (CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules (MHD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules (XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules (SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules (EVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules (GSL REQUIRED IMPORTED_TARGET gsl)

function (cv_library name)
  file (GLOB sources CONFIGURE_DEPENDS *.c)
  if (NOT sources)
    return ()
  endif ()
  add_library (cv_${name} STATIC ${sources})
  target_include_directories (cv_${name} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries (cv_${name} PUBLIC ${ARGN})
  cv_tests (${name} cv_${name})
endfunction ()

# cv_tests (NAME LIBRARY...) builds the GoogleTest program NAME_test from
# tests/*.cc, if there are any, and adds the test NAME.
function (cv_tests name)
  file (GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if (tests)
    add_executable (${name}_test ${tests})
    target_link_libraries (${name}_test ${ARGN} GTest::gtest
      GTest::gtest_main Threads::Threads)
    target_compile_definitions (${name}_test PRIVATE
      CV_TEST_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests")
    add_test (NAME ${name} COMMAND ${name}_test)
  endif ()
endfunction ()
