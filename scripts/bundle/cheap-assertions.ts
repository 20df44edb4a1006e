import {fileURLToPath} from 'node:url';
import type {Plugin} from 'esbuild';

const replacement = fileURLToPath(new URL('assertion.cjs', import.meta.url));
const strictReplacement = fileURLToPath(new URL('strict-assertion.cjs', import.meta.url));

/** Replaces the assertions of Node.js in a bundle by ones whose failure costs no more than any other error. */
export const cheapAssertions: Plugin = {
	name: 'cheap-assertions',
	setup(build) {
		// Filters are regular expressions of Go, which has no flag `v`.
		// eslint-disable-next-line require-unicode-regexp
		build.onResolve({filter: /^(?:node:)?assert(?:\/strict)?$/}, ({path, importer}) => importer === replacement ? {external: true} : {path: path.endsWith('/strict') ? strictReplacement : replacement});
	},
};
