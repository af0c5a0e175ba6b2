package coordinator

// The programs that run on the users' machines are linked to the C library, which takes one package that imports "C".

import "C"
