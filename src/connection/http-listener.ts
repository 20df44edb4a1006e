import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from '../process/address.ts';

/** Binds a server and resolves with the bound address; port 0 picks a free port. */
export async function listen(server: Server, address: Address): Promise<Address> {
	const {promise, resolve, reject} = Promise.withResolvers<void>();
	server.once('error', reject);
	server.listen(address.port, address.host, resolve);
	await promise;
	server.off('error', reject);
	const {port} = server.address() as AddressInfo;
	return {host: address.host, port};
}

/** Closes a server and destroys its open connections, for servers whose requests need not be awaited. */
export async function closeAbruptly(server: Server): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	server.close(() => {
		resolve();
	});
	server.closeAllConnections();
	await promise;
}
