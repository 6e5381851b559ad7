# Each library and program is a flat folder; its sources are all .cpp files in it.

# Defines the static library NAME from src/NAME/*.cpp.
function(currantring_library NAME)
    cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${NAME}/*.cpp)
    if(NOT SOURCES)
        return()
    endif()
    add_library(${NAME} STATIC ${SOURCES})
    set_target_properties(${NAME} PROPERTIES PREFIX "")
    target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src/${NAME})
    target_compile_definitions(${NAME} PUBLIC CURRANTRING_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${NAME} PUBLIC ${ARG_LIBRARIES})
    currantring_use_precompiled(${NAME})
endfunction()

# Defines the program NAME from DIRECTORY/*.cpp.
function(currantring_program NAME DIRECTORY)
    cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${DIRECTORY}/*.cpp)
    if(NOT SOURCES)
        return()
    endif()
    add_executable(${NAME} ${SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_LIBRARIES})
    target_compile_definitions(${NAME} PRIVATE CURRANTRING_CHARTS="${PROJECT_SOURCE_DIR}/charts")
    currantring_use_precompiled(${NAME})
endfunction()

# Defines the program NAME from src/NAME/main.cpp, and from the rest of src/NAME/*.cpp the static library LIBRARY, so
# that its parts can be tested.
function(currantring_program_with_library NAME LIBRARY)
    cmake_parse_arguments(ARG "" "" "LIBRARIES;PROGRAM_LIBRARIES" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${NAME}/*.cpp)
    if(NOT SOURCES)
        return()
    endif()
    list(REMOVE_ITEM SOURCES ${PROJECT_SOURCE_DIR}/src/${NAME}/main.cpp)
    add_library(${LIBRARY} STATIC ${SOURCES})
    set_target_properties(${LIBRARY} PROPERTIES PREFIX "")
    target_include_directories(${LIBRARY} PUBLIC ${PROJECT_SOURCE_DIR}/src/${NAME})
    target_compile_definitions(${LIBRARY} PRIVATE CURRANTRING_CHARTS="${PROJECT_SOURCE_DIR}/charts")
    target_link_libraries(${LIBRARY} PUBLIC ${ARG_LIBRARIES})
    currantring_use_precompiled(${LIBRARY})
    if(NOT EXISTS ${PROJECT_SOURCE_DIR}/src/${NAME}/main.cpp)
        return()
    endif()
    foreach(NEEDED ${ARG_PROGRAM_LIBRARIES})
        if(NOT TARGET ${NEEDED})
            return()
        endif()
    endforeach()
    add_executable(${NAME} ${PROJECT_SOURCE_DIR}/src/${NAME}/main.cpp)
    target_link_libraries(${NAME} PRIVATE ${LIBRARY} ${ARG_PROGRAM_LIBRARIES})
    currantring_use_precompiled(${NAME})
endfunction()

# Defines the one test program of NAME from tests/NAME/*.cpp; it tests the library NAME, or LIBRARY when it is given.
# Cases after APART run as entries of their own.
function(currantring_tests NAME)
    cmake_parse_arguments(ARG "" "LIBRARY" "EXCLUDED_LABELS;APART" ${ARGN})
    if(NOT ARG_LIBRARY)
        set(ARG_LIBRARY ${NAME})
    endif()
    file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${NAME}/*.cpp)
    if(NOT SOURCES OR NOT TARGET ${ARG_LIBRARY})
        return()
    endif()
    add_executable(test-${NAME} ${SOURCES})
    target_link_libraries(test-${NAME} PRIVATE ${ARG_LIBRARY} Boost::unit_test_framework)
    target_precompile_headers(test-${NAME} REUSE_FROM precompiled-tests)
    # It makes the framework define main().
    set_source_files_properties(${PROJECT_SOURCE_DIR}/tests/${NAME}/main.cpp PROPERTIES SKIP_PRECOMPILE_HEADERS ON)
    target_compile_definitions(test-${NAME} PRIVATE
        BOOST_TEST_DYN_LINK
        CURRANTRING_CHARTS="${PROJECT_SOURCE_DIR}/charts"
        CURRANTRING_BIN="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}"
        CURRANTRING_GOLDEN="${PROJECT_SOURCE_DIR}/tests/golden")
    list(TRANSFORM ARG_EXCLUDED_LABELS PREPEND --run_test=!@)
    set(EXCLUDED ${ARG_APART})
    currantring_known_red(${NAME} KNOWN_RED)
    list(APPEND EXCLUDED ${KNOWN_RED})
    list(TRANSFORM EXCLUDED PREPEND --run_test=!)
    add_test(NAME ${NAME} COMMAND test-${NAME} ${ARG_EXCLUDED_LABELS} ${EXCLUDED})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 900)
    currantring_apart(${NAME} ${NAME} "" ${ARG_APART})
endfunction()

# Sets RESULT to the test cases of NAME's test program that KNOWN-RED.txt lists.
function(currantring_known_red NAME RESULT)
    set(FILE ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${FILE})
    file(STRINGS ${FILE} CASES REGEX "^test: ${NAME}, ")
    list(TRANSFORM CASES REPLACE "^test: ${NAME}, " "")
    set(${RESULT} ${CASES} PARENT_SCOPE)
endfunction()

# Registers the Boost.Test suite @promise-x of NAME's test program under the CTest label of that name. The cases named
# after APART take long and get entries of their own, so that they run beside each other.
function(currantring_promise LABEL NAME)
    cmake_parse_arguments(ARG "" "" "APART" ${ARGN})
    set(EXCLUDED ${ARG_APART})
    list(TRANSFORM EXCLUDED PREPEND --run_test=!)
    add_test(NAME ${LABEL}-${NAME} COMMAND test-${NAME} --run_test=@${LABEL} ${EXCLUDED})
    set_tests_properties(${LABEL}-${NAME} PROPERTIES LABELS "promise;${LABEL}" TIMEOUT 1500 COST 50)
    currantring_apart(${LABEL}-${NAME} ${NAME} "promise;${LABEL}" ${ARG_APART})
endfunction()

# Registers test cases of NAME's test program as entries PREFIX-CASE that begin before all others.
function(currantring_apart PREFIX NAME LABELS)
    foreach(CASE ${ARGN})
        string(REPLACE "/" "-" ENTRY ${CASE})
        add_test(NAME ${PREFIX}-${ENTRY} COMMAND test-${NAME} --run_test=${CASE})
        set_tests_properties(${PREFIX}-${ENTRY} PROPERTIES LABELS "${LABELS}" TIMEOUT 1500 COST 100)
    endforeach()
endfunction()
