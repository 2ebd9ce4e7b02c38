#ifndef RHUBARBLANE_BASE_INVARIANT_H
#define RHUBARBLANE_BASE_INVARIANT_H

#include <cstdio>
#include <cstdlib>

/** Aborts the process if a condition does not hold that the program itself guarantees. Never used to check input. */
#define RHUBARBLANE_INVARIANT(condition, text)                                                                         \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: broken invariant: %s\n", __FILE__, __LINE__, text);                           \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)

#endif
