package coordinator

// Links the binary to the C library, as the users' machines require; this takes one package that imports "C".

import "C"
