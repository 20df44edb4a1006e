import {connect} from 'node:net';
import {parseAddress} from '../process/address.ts';

const probeTimeoutMs = 400;

/** Returns true if an address refuses connections; one that accepts them, or does not respond in time, does not. */
export async function refusesConnections(address: string): Promise<boolean> {
	const {host, port} = parseAddress(address);
	const {promise, resolve} = Promise.withResolvers<boolean>();
	const socket = connect({host, port, timeout: probeTimeoutMs});
	const finish = (isRefused: boolean) => {
		socket.destroy();
		resolve(isRefused);
	};

	socket.once('connect', () => {
		finish(false);
	});
	socket.once('timeout', () => {
		finish(false);
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		finish(error.code === 'ECONNREFUSED');
	});
	return promise;
}
