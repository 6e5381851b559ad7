# Precompiled headers: one for the product and one for the tests, each compiled once and used by all targets.

function(currantring_precompiled NAME HEADER)
    file(GENERATE OUTPUT ${CMAKE_BINARY_DIR}/${NAME}.cpp CONTENT "")
    add_library(${NAME} OBJECT ${CMAKE_BINARY_DIR}/${NAME}.cpp)
    target_link_libraries(${NAME} PUBLIC nlohmann_json::nlohmann_json Threads::Threads ${ARGN})
    target_precompile_headers(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/cmake/${HEADER})
endfunction()

currantring_precompiled(precompiled precompiled.h)
currantring_precompiled(precompiled-tests precompiledtests.h Boost::unit_test_framework)
target_compile_definitions(precompiled-tests PRIVATE BOOST_TEST_DYN_LINK)

# Lets the targets use the product's precompiled header.
function(currantring_use_precompiled)
    foreach(NAME ${ARGN})
        target_precompile_headers(${NAME} REUSE_FROM precompiled)
    endforeach()
endfunction()
