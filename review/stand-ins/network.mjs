
import {connect, createServer} from 'node:net';
import {once} from 'node:events';

/** Makes a server listen on a free loopback port, or on the given one; returns the address as `IP:PORT`. */
export async function listen(server, port = 0) {
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${server.address().port}`;
}

/** Returns loopback ports that are free at this moment. */
export async function findFreePorts(count) {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => listen(server)));
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return addresses.map(address => Number(address.split(':')[1]));
}

/** TCP proxy whose open connections can go silent for good, without a reset, while new ones work. */
export class SilencingProxy {
	#target;
	#pairs = new Set();
	#server = createServer({allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(target) {
		this.#target = target;
	}

	async start() {
		return listen(this.#server);
	}

	/** Nothing passes any more on the connections that are open now; returns their number. */
	silence() {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}

		return this.#pairs.size;
	}

	stop() {
		this.#server.close();
		for (const {sockets} of this.#pairs) {
			for (const socket of sockets) {
				socket.destroy();
			}
		}
	}

	#accept(socket) {
		const [host, port] = this.#target.split(':');
		const target = connect({host, port: Number(port), allowHalfOpen: true});
		const pair = {isSilent: false, sockets: [socket, target]};
		this.#pairs.add(pair);
		for (const [from, to] of [[socket, target], [target, socket]]) {
			from.setNoDelay(true);
			from.on('data', chunk => {
				if (!pair.isSilent) {
					to.write(chunk);
				}
			});
			from.on('end', () => {
				if (!pair.isSilent) {
					to.end();
				}
			});
			from.on('error', () => {
				if (!pair.isSilent) {
					to.destroy();
				}
			});
			from.on('close', () => {
				if (!pair.isSilent) {
					to.destroy();
				}

				if (socket.destroyed && target.destroyed) {
					this.#pairs.delete(pair);
				}
			});
		}
	}
}
