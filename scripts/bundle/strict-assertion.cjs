'use strict';

/* Takes the place of `node:assert/strict` in bundles. */
module.exports = require('./assertion.cjs').strict;
