/** Process with the stand-ins for platform and host list, and an engine that emits tokens at a constant rate. */
import {createServer, type ServerResponse} from 'node:http';
import {listen} from '../../src/connection/http-listener.ts';
import {seedConfiguration} from '../../src/demo/seed-configuration.ts';
import {HostsServer} from '../../src/stand-ins/hosts/hosts-server.ts';
import {PlatformServer} from '../../src/stand-ins/platform/platform-server.ts';
import {answerCommands} from './messages.ts';

const loopback = {host: '127.0.0.1', port: 0};
/** Interval between the tokens of a stream, in milliseconds: 814 streams emit 22,000 tokens per second, above the target of 21,400. */
const tokenIntervalMs = 37;
const key = 'bench-key';
const model = 'bench';

/** Remaining tokens of each stream, grouped by the millisecond of the interval in which its tokens are due. */
const streamsBySlot = Array.from({length: tokenIntervalMs}, () => new Map<ServerResponse, number>());
const chunk = {
	id: 'chatcmpl-5f0c8f3e-7c53-4e0e-a2b1-5f0c8f3e7c53',
	object: 'chat.completion.chunk',
	created: 1_767_225_600,
	model,
	choices: [{index: 0, delta: {content: ' carton'}, finish_reason: null}],
};
const event = `data: ${JSON.stringify(chunk)}\n\n`;
let nextSlot = 0;

const server = createServer((request, response) => {
	if (request.method !== 'POST') {
		// Health probes and polls of the daemon.
		response.end('{}');
		return;
	}

	let body = '';
	request.setEncoding('utf8');
	request.on('data', (part: string) => {
		body += part;
	});
	request.on('end', () => {
		const tokens = (JSON.parse(body) as {readonly max_tokens: number}).max_tokens;
		nextSlot = (nextSlot + 1) % tokenIntervalMs;
		const slot = streamsBySlot[nextSlot]!;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write(event);
		slot.set(response, tokens - 1);
		response.once('close', () => {
			slot.delete(response);
		});
	});
});
server.keepAliveTimeout = 60_000;

function emitTokens(slot: Map<ServerResponse, number>): void {
	for (const [response, remaining] of slot) {
		if (remaining > 0) {
			response.write(event);
			slot.set(response, remaining - 1);
		} else {
			response.end('data: [DONE]\n\n');
			slot.delete(response);
		}
	}
}

const startMs = performance.now();
let tick = 0;
setInterval(() => {
	for (; tick < performance.now() - startMs; tick += 1) {
		emitTokens(streamsBySlot[tick % tokenIntervalMs]!);
	}
}, 1);

answerCommands({
	async start() {
		const engine = await listen(server, loopback);
		const platform = new PlatformServer();
		const {port: platformPort} = await platform.listen(loopback);
		await seedConfiguration(platform.table, platform.objects, [{customer: 'bench', key}]);
		const hosts = new HostsServer([{
			kind: 'engine', id: 'engine-0', address: `127.0.0.1:${engine.port}`, availabilityZone: 'zone-a', state: 'live', serves: model, enforcesFencing: true,
		}]);
		const {port: hostsPort} = await hosts.listen(loopback);
		return {enginePort: engine.port, platformPort, hostsPort};
	},
});
