/** Server process under test: the daemon, or a bare pass-through as the baseline. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
// Must be imported before all other modules of the project: it fixes the size of the young generation of the heap, which otherwise grows while they load.
// eslint-disable-next-line import-x/no-unassigned-import
import '../../src/process/heap.ts';
import {listen} from '../../src/connection/http-listener.ts';
import {createLog} from '../../src/process/create-log.ts';
import {createDaemon} from '../../src/process/wiring.ts';
import {parseSettings} from '../../src/version/settings.ts';
import {answerCommands, type Command} from './messages.ts';

const loopback = {host: '127.0.0.1', port: 0};
const sampleIntervalMs = 100;

let usage = process.cpuUsage();
let started = performance.now();
let highestResidentBytes = 0;

setInterval(() => {
	highestResidentBytes = Math.max(highestResidentBytes, process.memoryUsage.rss());
}, sampleIntervalMs);

async function startBaseline({enginePort}: Command) {
	const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
	const pass = async (request: IncomingMessage, response: ServerResponse) => {
		try {
			const answer = await agent.request({
				origin: `http://127.0.0.1:${String(enginePort)}`,
				path: request.url!,
				method: 'POST',
				headers: {'content-type': 'application/json', 'content-length': request.headers['content-length']},
				body: request,
			});
			response.writeHead(answer.statusCode, {'content-type': String(answer.headers['content-type'])});
			answer.body.pipe(response);
		} catch {
			response.destroy();
		}
	};

	const server = createServer((request, response) => {
		void pass(request, response);
	});
	return listen(server, loopback);
}

async function startDaemon({platformPort, hostsPort}: Command) {
	const text = [
		'[daemon]',
		'id = bench',
		'availability-zone = zone-a',
		'listen = 127.0.0.1:0',
		'peer-listen = 127.0.0.1:0',
		'[platform]',
		`table = http://127.0.0.1:${String(platformPort)}`,
		`objects = http://127.0.0.1:${String(platformPort)}/objects`,
		`hosts = http://127.0.0.1:${String(hostsPort)}/hosts`,
		'[limits]',
		'engine-slots = 10000',
		'[logs]',
		'level = error',
	].join('\n');
	const daemon = await createDaemon(parseSettings(text, 'bench').unsafeCoerce(), createLog('error'));
	while (!daemon.isReady()) {
		await delay(10);
	}

	return daemon.address;
}

answerCommands({
	start: async command => command.mode === 'daemon' ? startDaemon(command) : startBaseline(command),
	begin() {
		usage = process.cpuUsage();
		started = performance.now();
	},
	end() {
		const {user, system} = process.cpuUsage(usage);
		return {
			cpuMs: (user + system) / 1000, wallMs: performance.now() - started, highestResidentBytes,
		};
	},
});
