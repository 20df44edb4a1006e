import {beforeEach} from 'vitest';
import {readKnownRed} from './known-red.ts';

const knownRed = readKnownRed();

beforeEach(context => {
	const names = [context.task.name];
	for (let {suite} = context.task; suite !== undefined; suite = suite.suite) {
		names.unshift(suite.name);
	}

	if (knownRed.has(names.join(' > '))) {
		context.skip('listed in KNOWN-RED.txt');
	}
});
