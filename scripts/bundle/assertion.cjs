'use strict';

/*
Takes the place of `node:assert` in bundles. For an assertion without a message, Node.js reads the source file back and parses the
line of the failed condition to quote it; in a bundle that is one line, Node.js 20 takes seconds for that.
*/
const nodeAssert = require('node:assert');

const message = 'assertion failed';

/** Creates a module with the functions of another one, whose plain assertion always has a message. */
function createModule(functions) {
	const assert = (value, reason = message) => {
		if (!value) {
			nodeAssert.fail(reason);
		}
	};

	return Object.assign(assert, functions, {ok: assert});
}

const strict = createModule(nodeAssert.strict);
module.exports = Object.assign(createModule(nodeAssert), {strict: Object.assign(strict, {strict})});
