# The Debian libraries the project is built on, each as one imported or wrapped target.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)
find_package(nlohmann_json 3.11 REQUIRED)
if(NOT JACKDAW_PLATFORM_ONLY)
    find_package(doctest REQUIRED)
endif()
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent libevent_pthreads)

find_library(EVHTP_LIBRARY evhtp REQUIRED)
if(NOT JACKDAW_PLATFORM_ONLY)
    find_library(LUA_LIBRARY lua5.4 REQUIRED)
endif()

add_library(jackdaw_evhtp INTERFACE)
target_link_libraries(jackdaw_evhtp INTERFACE ${EVHTP_LIBRARY} PkgConfig::LIBEVENT Threads::Threads)

if(NOT JACKDAW_PLATFORM_ONLY)
    add_library(jackdaw_lua INTERFACE)
    target_include_directories(jackdaw_lua SYSTEM INTERFACE /usr/include/lua5.4)
    target_link_libraries(jackdaw_lua INTERFACE ${LUA_LIBRARY})
endif()

add_library(jackdaw_msgpack INTERFACE)
target_compile_definitions(jackdaw_msgpack INTERFACE MSGPACK_NO_BOOST)

# easylogging++ ships as a header and one source file, which is compiled here once.
add_library(jackdaw_easylogging STATIC /usr/include/easylogging++.cc)
target_compile_definitions(jackdaw_easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_link_libraries(jackdaw_easylogging PUBLIC Threads::Threads)

if(NOT JACKDAW_PLATFORM_ONLY)
    add_library(jackdaw_doctest_main STATIC ${CMAKE_SOURCE_DIR}/cmake/DoctestMain.cpp)
    target_link_libraries(jackdaw_doctest_main PUBLIC doctest::doctest)
endif()
