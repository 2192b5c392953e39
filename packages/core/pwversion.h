/* pwversion.h: the version of peatwell. */
#ifndef PWVERSION_H
#define PWVERSION_H

#define PW_VERSION "0.1.0"

#endif
