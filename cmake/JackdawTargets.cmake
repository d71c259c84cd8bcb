# Helpers that give every library, program and test of the project the same build options.

add_library(jackdaw_options INTERFACE)
target_compile_options(jackdaw_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wzero-as-null-pointer-constant -Werror)
target_include_directories(jackdaw_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
set(JACKDAW_TEST_TIMEOUT 300) # seconds; ends a test that hangs
if(JACKDAW_SANITIZE)
    set(JACKDAW_TEST_TIMEOUT 1200)
    # With sanitizers g++ 12 warns of uninitialized and overlapping objects inside headers of Boost and of its own library.
    target_compile_options(jackdaw_options INTERFACE -O1 -g1 -fsanitize=address,undefined -fno-sanitize-recover=all
        -Wno-error=maybe-uninitialized -Wno-error=restrict)
    target_link_options(jackdaw_options INTERFACE -fsanitize=address,undefined)
endif()

# jackdaw_library(NAME SOURCES... LIBRARIES...)
function(jackdaw_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC jackdaw_options ${ARG_LIBRARIES})
endfunction()

# jackdaw_program(NAME SOURCES... LIBRARIES...)
function(jackdaw_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE jackdaw_options ${ARG_LIBRARIES})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# jackdaw_test(NAME SOURCES... LIBRARIES...): the one test program of a library; doctest's main is linked in.
function(jackdaw_test name)
    if(JACKDAW_PLATFORM_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE jackdaw_options jackdaw_doctest_main ${ARG_LIBRARIES})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${JACKDAW_TEST_TIMEOUT})
endfunction()
