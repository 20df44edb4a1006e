import {setFlagsFromString} from 'node:v8';

/*
Keeps the young generation of the heap at its initial size; imported before all other modules.

Left to itself it grows to 64 MB, already while modules are loaded, and does not shrink. A daemon that relays many streams
has 256 MB, and its buffers live for a few milliseconds.
*/
setFlagsFromString('--semi-space-growth-factor=1');
