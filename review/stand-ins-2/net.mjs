/* eslint-disable no-await-in-loop -- The fields are those of the platform; steps of a case follow each other. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Listens on a free loopback port, or on a given one; returns the address. */
export async function listen(server, port = 0) {
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${server.address().port}`;
}

/** Reads a whole body. */
export async function readAll(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Ports below those that systems give to outgoing connections. */
const lowestPort = 10_000;
const portCount = 20_000;

/** Returns free loopback ports. */
export async function findPorts(count) {
	const servers = [];
	while (servers.length < count) {
		const server = createServer();
		try {
			await listen(server, lowestPort + Math.floor(Math.random() * portCount));
			servers.push(server);
		} catch {
			// Another process has this port.
		}
	}

	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}

/** Resolves when a condition is met; false if that takes longer than `ms`. */
export async function until(isMet, ms, stepMs = 20) {
	const end = performance.now() + ms;
	while (!(await isMet())) {
		if (performance.now() > end) {
			return false;
		}

		await sleep(stepMs);
	}

	return true;
}

/** Waits for a time in milliseconds. */
export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
