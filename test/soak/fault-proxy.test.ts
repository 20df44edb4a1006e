import {connect, createServer, type Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {bindLoopback} from '../fixtures/bind-loopback.ts';
import {FaultProxy} from './fault-proxy.ts';

// Guards against a fault of the proxy that no connection has, and that looks like one of the daemon.
test('the proxy keeps the order of bytes, and of the end, when it turns from slow to open', async () => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void send(socket);
		});
	});
	const send = async (socket: Socket) => {
		for (const [text, mode] of [['1', 'slow'], ['2', 'open'], ['3', 'slow'], ['4', 'open']] as const) {
			proxy.mode = mode;
			socket.write(text);
			await delay(10);
		}

		socket.end('5');
	};

	await using proxy = new FaultProxy(await bindLoopback(server));
	await proxy.start();
	const [host, port] = proxy.address.split(':');
	const caller = connect({host, port: Number(port)});
	let received = '';
	caller.setEncoding('utf8').on('data', (text: string) => {
		received += text;
	});
	caller.write('go');
	await once(caller, 'end');
	caller.destroy();
	server.close();
	expect(received).toBe('12345');
});
