import {createServer, get, type Server} from 'node:http';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';
import {serveSharedRows} from '../../src/connection/row-exchange.ts';

describe('rows for other daemons', () => {
	let server: Server;
	let port = 0;

	beforeAll(async () => {
		server = createServer((request, response) => {
			serveSharedRows(request, response, table => table === 'a b'
				? {
					position: {epoch: 2, version: 7}, digest: 1, ageMs: 5, recoveredMs: undefined, isWhole: true, rows: [],
				}
				: undefined);
		});
		({port} = await listen(server, {host: '127.0.0.1', port: 0}));
	});

	afterAll(async () => {
		await closeAbruptly(server);
	});

	async function ask(path: string): Promise<number | undefined> {
		const {promise, resolve, reject} = Promise.withResolvers<number | undefined>();
		get({
			host: '127.0.0.1', port, path, agent: false,
		}, response => {
			response.resume();
			resolve(response.statusCode);
		}).once('error', reject);
		return promise;
	}

	test('are returned for a table that the daemon reads', async () => {
		expect(await ask('/tables/a%20b?after=3')).toBe(200);
	});

	// Guards against a path that cannot be decoded ending the process with an error that nothing handles.
	test.each(['/tables/%', '//', '/tables/other', '/', '/tables/a%20b%'])('are not found under %j', async path => {
		expect(await ask(path)).toBe(404);
	});
});
