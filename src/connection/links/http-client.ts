/*
The client alone: the whole library takes a quarter of a second and several megabytes at the start of a process, which small
hosts pay at each restart.
*/
export {default as Client} from 'undici/lib/dispatcher/client.js';
