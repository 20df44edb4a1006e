import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {text} from 'node:stream/consumers';
import {expect, it} from 'vitest';
import {sendOrder} from '../../src/connection/order-channel.ts';
import {EngineServer} from '../../src/stand-ins/engine/engine-server.ts';

const idleLimitMs = 400;
const leaseMs = 1000;

async function waitUntilStopped(child: ChildProcess): Promise<void> {
	for (;;) {
		const status = await readFile(`/proc/${child.pid}/stat`, 'utf8');
		if (status.split(') ')[1]?.startsWith('T') === true) {
			return;
		}

		await delay(10);
	}
}

/** Pauses a lease holder between the lease check and the write, lets its successor send an order, and resumes the holder. */
async function sendOrderAfterPausedHolder(orders: {readonly enforcesFencing: boolean; readonly idleLimitMs: number}) {
	await using engine = new EngineServer({id: 'e', model: 'm', orders: {...orders, changeMs: 50}});
	const {host, port} = await engine.listen({host: '127.0.0.1', port: 0});
	const address = `${host}:${port}`;
	const child = spawn(process.execPath, [fileURLToPath(new URL('../fixtures/paused-sender.ts', import.meta.url)), address, String(leaseMs)], {
		stdio: ['ignore', 'pipe', 'inherit'],
		// The kernel hangs up a stopped process when the shell that started its process group ends.
		detached: true,
	});
	const output = text(child.stdout);
	try {
		await waitUntilStopped(child);
		// The successor gets the lease after it expires, and sends its first order after the idle timeout of a real engine.
		await delay(leaseMs + idleLimitMs);
		await sendOrder(address, {orderId: 'new', fencing: 2, wanted: {role: 'decode'}}, {isAuthorized: () => true});
		await delay(100);
	} finally {
		child.kill('SIGCONT');
	}

	const outcome = await output;
	return {outcome: outcome.trim(), accepted: engine.orders.accepted.map(order => order.orderId), role: engine.orders.state(performance.now()).role};
}

it.concurrent.each([true, false])('an order of a holder that is paused after the lease check has no effect (engine enforces fencing: %s)', async enforcesFencing => {
	const result = await sendOrderAfterPausedHolder({enforcesFencing, idleLimitMs});
	expect(result).toEqual({outcome: 'unknown', accepted: ['new'], role: 'decode'});
});

it.concurrent('the late order takes effect without the idle timeout, which shows that the test above can fail', async () => {
	const {accepted} = await sendOrderAfterPausedHolder({enforcesFencing: false, idleLimitMs: 60_000});
	expect(accepted).toEqual(['new', 'old']);
});

it.concurrent('an engine that enforces fencing refuses the late order even where it does not close idle connections', async () => {
	const result = await sendOrderAfterPausedHolder({enforcesFencing: true, idleLimitMs: 60_000});
	expect(result).toEqual({outcome: 'refused', accepted: ['new'], role: 'decode'});
});

it.concurrent('an order is sent in one write after the lease check and its connection is closed, so that no part of it can follow a pause', async () => {
	const chunks: string[] = [];
	const {promise: closed, resolve} = Promise.withResolvers<void>();
	const server = createServer(socket => {
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			chunks.push(chunk);
			socket.write('HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n');
		});
		socket.once('close', () => {
			resolve();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const outcome = await sendOrder(`127.0.0.1:${port}`, {orderId: 'o', fencing: 7, wanted: {role: 'decode'}}, {
		isAuthorized: () => chunks.length === 0,
	});
	await closed;
	server.close();
	expect(outcome.kind).toBe('accepted');
	expect(chunks).toHaveLength(1);
	expect(chunks[0]).toMatch(/^PUT \/state HTTP\/1\.1\r\n.*fencing-number: 7\r\norder-id: o\r\n.*\r\n\r\n\{"role":"decode"\}$/sv);
});

it.concurrent('an order is not sent when the lease expired while the connection was being opened', async () => {
	await using engine = new EngineServer({id: 'e', model: 'm'});
	const {host, port} = await engine.listen({host: '127.0.0.1', port: 0});
	const outcome = await sendOrder(`${host}:${port}`, {orderId: 'o', fencing: 1, wanted: {drain: true}}, {isAuthorized: () => false});
	expect(outcome.kind).toBe('not-sent');
	expect(engine.orders.accepted).toEqual([]);
});

it.concurrent('an engine that crashes during a change restarts with its old state and no order', async () => {
	await using engine = new EngineServer({id: 'e', model: 'm', orders: {changeMs: 100}});
	engine.setFaults({crashInChange: true, restartMs: 50});
	const {host, port} = await engine.listen({host: '127.0.0.1', port: 0});
	const outcome = await sendOrder(`${host}:${port}`, {orderId: 'o', fencing: 1, wanted: {role: 'decode'}}, {isAuthorized: () => true});
	expect(outcome.kind).toBe('accepted');
	await delay(250);
	expect(engine.orders.state(performance.now())).toMatchObject({role: 'mixed', orderId: '', phase: 'ready'});
	expect(engine.orders.accepted[0]?.readyAt).toBeUndefined();
});
