import {createServer} from 'node:net';
import {describe, expect, test} from 'vitest';
import {refusesConnections} from '../../src/connection/refusal-probe.ts';
import {chooseFreePorts} from '../fixtures/free-ports.ts';

describe('the check whether an address refuses connections', () => {
	test('is true without a listener and false with one', async () => {
		const [port] = await chooseFreePorts(1);
		expect(await refusesConnections(`127.0.0.1:${port}`)).toBe(true);
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
		expect(await refusesConnections(`127.0.0.1:${port}`)).toBe(false);
		server.close();
	});

	// Guards against a reset in the network being taken for a crash.
	test('is false for a listener that closes its connections at once', async () => {
		const server = createServer(socket => {
			socket.resetAndDestroy();
		});
		const [port] = await chooseFreePorts(1);
		await new Promise<void>(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
		expect(await refusesConnections(`127.0.0.1:${port}`)).toBe(false);
		server.close();
	});
});
