'use strict';

/*
Takes the place of `node:assert` in bundles. For an assertion without a message, Node.js reads the source file back and parses the
line of the failed condition to quote it; in a bundle that is one line, Node.js 20 takes seconds for that.
*/
const nodeAssert = require('node:assert');

const message = 'assertion failed';

/** Throws if a condition does not hold. */
function assert(value, reason = message) {
	if (!value) {
		nodeAssert.fail(reason);
	}
}

module.exports = Object.assign(assert, nodeAssert, {ok: assert, strict: assert});
