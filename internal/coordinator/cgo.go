package coordinator

// The programs that run on the users' machines are linked to the C library, which requires a package that imports "C".

import "C"
