/*
Imports only the client: the complete library adds a quarter of a second and several megabytes to the start of a process,
which matters on small hosts at each restart.
*/
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as errors} from 'undici/lib/core/errors.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
