import {setFlagsFromString} from 'node:v8';

/*
Keeps the young generation of the heap at its initial size. Must be imported before all other modules.

By default it grows to 64 MB, even while modules are loaded, and does not shrink. A daemon that relays many streams
has 256 MB of memory, and its buffers live for only a few milliseconds.
*/
setFlagsFromString('--semi-space-growth-factor=1');
