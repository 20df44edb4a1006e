import process from 'node:process';
import {beforeEach} from 'vitest';
import {readKnownRed} from './known-red.ts';

const knownRed = readKnownRed();

// A worker whose run was ended would go on with its test, and its daemons would call stand-ins of later tests.
process.once('disconnect', () => {
	process.exit();
});

beforeEach(context => {
	const names = [context.task.name];
	for (let {suite} = context.task; suite !== undefined; suite = suite.suite) {
		names.unshift(suite.name);
	}

	if (knownRed.has(names.join(' > '))) {
		context.skip('listed in KNOWN-RED.txt');
	}
});
