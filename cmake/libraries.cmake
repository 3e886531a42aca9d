# sumackeel_library(NAME SOURCES ... [PUBLIC ...] [PRIVATE ...]): a static library of one folder below src, included
# by paths that begin with the folder's name.
function(sumackeel_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  add_library(sumackeel_${name} STATIC ${arg_SOURCES})
  target_include_directories(sumackeel_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(sumackeel_${name} PUBLIC ${arg_PUBLIC} PRIVATE ${arg_PRIVATE})
endfunction()

# What simulations run through in their thousands. Everything with -O1 would take minutes to build.
function(sumackeel_optimize_in_tests name)
  if(SUMACKEEL_TESTS)
    target_compile_options(sumackeel_${name} PRIVATE -O1)
  endif()
endfunction()
