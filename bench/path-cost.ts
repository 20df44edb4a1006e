import {setTimeout as delay} from 'node:timers/promises';
import {
	atLeast, atMost, type Measure, type Measurement,
} from './measure.ts';
import {startWorker, type Worker} from './path-cost/messages.ts';

/** Server between callers and engine: a bare pass-through, the daemon, or none. */
type Mode = 'baseline' | 'daemon' | 'direct';

type Ports = {
	readonly enginePort: number;
	readonly platformPort: number;
	readonly hostsPort: number;
};

type RunResult = {
	readonly tokensPerSecond: number;
	readonly failures: number;
	readonly firstTokenP99Ms: number;
	readonly cpuUsPerToken: number;
	/** Processor time of the server per wall time; 1 is one core. */
	readonly cores: number;
	readonly residentMegabytes: number;
};

type Load = {
	readonly streams: number;
	/** Tokens of each answer; the first answer on a connection has a random number of tokens up to this. */
	readonly tokens: number;
};

const targetTokensPerSecond = 21_400;
const targetStreams = 814;
const residentBoundMegabytes = 256;
const cpuRatioBound = 1.5;
const addedFirstTokenBoundMs = 5;
/** Tokens per answer at the design size: 9 million tokens per second in 26,000 requests per second. */
const answerTokens = 346;
/** Shorter answers, so that a run has enough first tokens for a p99. */
const shortAnswerTokens = 60;
const warmUpMs = 2000;
const measureMs = 3000;
const rounds = 3;

/** Compares the data path's processor time, memory and time to first token with a bare pass-through and with no server. */
export const pathCost: Measure = {
	name: 'path-cost',
	deterministic: false,
	async run() {
		const load = {streams: targetStreams, tokens: answerTokens};
		const baselines: RunResult[] = [];
		const daemons: RunResult[] = [];
		for (let round = 0; round < rounds; round += 1) {
			baselines.push(await runOnce('baseline', load));
			daemons.push(await runOnce('daemon', load));
		}

		const cpu = median(daemons.map(run => run.cpuUsPerToken));
		const baselineCpu = median(baselines.map(run => run.cpuUsPerToken));
		const worst = daemons.toSorted((a, b) => b.residentMegabytes - a.residentMegabytes)[0]!;
		return [
			atMost('path cpu per token', round3(cpu), 'us', {bound: round3(baselineCpu * cpuRatioBound), baseline: round3(baselineCpu)}),
			atLeast('path tokens', Math.round(median(daemons.map(run => run.tokensPerSecond))), 'tokens/s', {bound: targetTokensPerSecond}),
			atMost('path cores', round3(median(daemons.map(run => run.cores))), 'cores', {bound: 1, baseline: round3(median(baselines.map(run => run.cores)))}),
			atMost('path resident memory', Math.round(worst.residentMegabytes), 'MB', {bound: residentBoundMegabytes, baseline: Math.round(median(baselines.map(run => run.residentMegabytes)))}),
			atMost('path failures', sum(daemons.map(run => run.failures)), 'streams', {bound: 0}),
			...await measureFirstToken(cpu),
		];
	},
};

/** Measures the time to first token that the daemon adds, at half of the load at which it would use one core. */
async function measureFirstToken(cpuUsPerToken: number): Promise<readonly Measurement[]> {
	const tokensPerSecondAtSaturation = 1_000_000 / cpuUsPerToken;
	const streams = Math.round(targetStreams * tokensPerSecondAtSaturation / 2 / targetTokensPerSecond);
	const load = {streams, tokens: shortAnswerTokens};
	const p99s: Record<Mode, number[]> = {direct: [], baseline: [], daemon: []};
	for (let round = 0; round < rounds; round += 1) {
		for (const mode of ['direct', 'baseline', 'daemon'] as const) {
			const run = await runOnce(mode, load);
			p99s[mode].push(run.firstTokenP99Ms);
		}
	}

	return (['direct', 'baseline'] as const).map(mode => {
		const added = p99s.daemon.map((p99, round) => p99 - p99s[mode][round]!);
		const name = `path first token p99 added to ${mode === 'direct' ? 'no server' : 'pass-through'}`;
		return atMost(name, round3(median(added)), 'ms', {bound: addedFirstTokenBoundMs, baseline: round3(median(p99s[mode]))});
	});
}

async function runOnce(mode: Mode, load: Load): Promise<RunResult> {
	await using upstream = startWorker('./upstream-process.ts');
	await using server = startWorker('./server-process.ts');
	await using callers = startWorker('./load-process.ts');
	const ports = await upstream.ask<Ports>({kind: 'start'});
	const port = mode === 'direct' ? ports.enginePort : await startServer(server, mode, ports);
	await callers.ask({kind: 'start', port, ...load});
	await callers.ask({kind: 'running', streams: load.streams});
	await delay(warmUpMs);
	await server.ask({kind: 'begin'});
	await callers.ask({kind: 'begin'});
	await delay(measureMs);
	const cost = await server.ask<{readonly cpuMs: number; readonly wallMs: number; readonly highestResidentBytes: number}>({kind: 'end'});
	const result = await callers.ask<{readonly tokens: number; readonly failures: number; readonly firstTokenP99Ms: number}>({kind: 'end'});
	return {
		tokensPerSecond: result.tokens * 1000 / cost.wallMs,
		failures: result.failures,
		firstTokenP99Ms: result.firstTokenP99Ms,
		cpuUsPerToken: cost.cpuMs * 1000 / result.tokens,
		cores: cost.cpuMs / cost.wallMs,
		residentMegabytes: cost.highestResidentBytes / 1_000_000,
	};
}

async function startServer(server: Worker, mode: Mode, ports: Ports): Promise<number> {
	const {port} = await server.ask<{readonly port: number}>({kind: 'start', mode, ...ports});
	return port;
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function round3(value: number): number {
	return Math.round(value * 1000) / 1000;
}
