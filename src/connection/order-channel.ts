import {request as createRequest} from 'node:http';
import {connect, type Socket} from 'node:net';
import {parseAddress} from '../process/address.ts';
import type {Order, OrderOutcome} from '../ports/order.ts';

/** Options for sending an order. */
export type OrderChannelOptions = {
	/** Checks on the monotonic clock whether the lease is still held; called once the connection is open. */
	readonly isAuthorized: () => boolean;
	/** Timeout for connecting and for the answer together, in milliseconds. @default 2000 */
	readonly timeoutMs?: number;
	/** Called between the lease check and the write; tests pause the process here. */
	readonly beforeWrite?: () => void;
};

const defaultTimeoutMs = 2000;

/**
Sends one order on a new connection, then closes it.

The connection is opened before the lease is checked. If the process is paused between the check and the write for longer than the
idle timeout of the engine, the order is therefore written to a connection that the engine has already closed.
*/
export async function sendOrder(address: string, order: Order, options: OrderChannelOptions): Promise<OrderOutcome> {
	const socket = connect(parseAddress(address));
	const signal = AbortSignal.timeout(options.timeoutMs ?? defaultTimeoutMs);
	try {
		const failure = await waitUntilConnected(socket, signal);
		return failure === undefined
			? await writeOrder(socket, order, options, signal)
			: {kind: 'not-sent', message: failure};
	} finally {
		socket.destroy();
	}
}

async function waitUntilConnected(socket: Socket, signal: AbortSignal): Promise<string | undefined> {
	const {promise, resolve} = Promise.withResolvers<string | undefined>();
	socket.setNoDelay(true);
	socket.once('connect', () => {
		resolve(undefined);
	});
	socket.on('error', error => {
		resolve(error.message);
	});
	signal.addEventListener('abort', () => {
		resolve('connecting timed out');
	});
	return promise;
}

async function writeOrder(
	socket: Socket,
	order: Order,
	options: OrderChannelOptions,
	signal: AbortSignal,
): Promise<OrderOutcome> {
	const {promise, resolve} = Promise.withResolvers<OrderOutcome>();
	const body = JSON.stringify(order.wanted);
	const request = createRequest({
		method: 'PUT',
		path: '/state',
		headers: {
			host: `${socket.remoteAddress}:${socket.remotePort}`,
			'content-type': 'application/json',
			'content-length': new TextEncoder().encode(body).length,
			'fencing-number': order.fencing,
			'order-id': order.orderId,
		},
		createConnection: () => socket,
	});
	request.once('response', response => {
		response.resume();
		const {statusCode: status = 0} = response;
		resolve(status >= 200 && status < 300 ? {kind: 'accepted'} : {kind: 'refused', status});
	});
	request.once('error', error => {
		resolve({kind: 'unknown', message: error.message});
	});
	signal.addEventListener('abort', () => {
		resolve({kind: 'unknown', message: 'no answer within the timeout'});
	});
	// The lease check and the write run in one synchronous step; head and body are sent in a single write.
	request.once('socket', () => {
		if (!options.isAuthorized()) {
			resolve({kind: 'not-sent', message: 'the lease has expired'});
			request.destroy();
			return;
		}

		options.beforeWrite?.();
		request.end(body);
	});
	return promise;
}
