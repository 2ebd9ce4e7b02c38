#ifndef RHUBARBLANE_BASE_INVARIANT_H
#define RHUBARBLANE_BASE_INVARIANT_H

#include <cstdio>
#include <cstdlib>

/** Stops the process when a condition that the program itself guarantees does not hold. Never for input. */
#define RHUBARBLANE_INVARIANT(condition, text)                                                                         \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: broken invariant: %s\n", __FILE__, __LINE__, text);                           \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)

#endif
