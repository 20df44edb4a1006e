import {setTimeout as delay} from 'node:timers/promises';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {request} from 'undici';
import {SeededRandom} from '../process/random.ts';
import {
	demoKey, demoModels, demoService, type LocalDeployment,
} from './local-deployment.ts';

/** Results of one kind of request. */
export type LoadRow = {
	readonly name: string;
	readonly sent: number;
	readonly succeeded: number;
	/** Time to the first byte of the answer, in milliseconds. */
	readonly firstByteMs: Histogram;
	/** Time to the end of the answer, in milliseconds. */
	readonly totalMs: Histogram;
};

type Job = {
	readonly name: string;
	readonly path: string;
	readonly body: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

const bookingName = 'booking';
const requestIntervalMs = 10;
const pollIntervalMs = 20;

/** Waits until each daemon reports that it is ready. */
export async function waitUntilReady(deployment: LocalDeployment): Promise<void> {
	while (!deployment.daemons.every(daemon => daemon.isReady())) {
		await delay(pollIntervalMs);
	}
}

/** Sends a mix of streamed chat completions, patient completions and bookings, round-robin over the daemons. */
export async function runMixedLoad(deployment: LocalDeployment, requests: number): Promise<readonly LoadRow[]> {
	const random = new SeededRandom(1);
	const rows = new Map<string, {sent: number; succeeded: number; firstByteMs: Histogram; totalMs: Histogram}>();
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < requests; index += 1) {
		const job = createJob(index, random);
		const row = rows.get(job.name)
			?? {
				sent: 0, succeeded: 0, firstByteMs: buildHistogram(), totalMs: buildHistogram(),
			};
		rows.set(job.name, row);
		row.sent += 1;
		const url = deployment.urls[index % deployment.urls.length]!;
		pending.push(runJob(url, job, row));
		await delay(requestIntervalMs);
	}

	await Promise.all(pending);
	return [...rows].map(([name, row]) => ({name, ...row}));
}

/** Counts the bookings that the services executed and those that were sent; the counts are equal when none was lost or executed twice. */
export function countBookings(deployment: LocalDeployment, rows: readonly LoadRow[]): {readonly run: number; readonly sent: number} {
	return {
		run: deployment.services.reduce((sum, service) => sum + service.executions.length, 0),
		sent: rows.find(({name}) => name === bookingName)?.sent ?? 0,
	};
}

function createJob(index: number, random: SeededRandom): Job {
	const kind = random.integer(10);
	if (kind < 6) {
		const content = 'x'.repeat(400 + random.integer(4000));
		const body = {
			model: demoModels[0], stream: true, max_tokens: 8, messages: [{role: 'user', content}],
		};
		return {name: 'press check (streamed)', path: '/v1/chat/completions', body};
	}

	if (kind < 8) {
		const body = {model: demoModels[1], max_tokens: 40, prompt: `notes ${index}`};
		return {
			name: 'batch note', path: '/v1/completions', body, headers: {'wagtailtack-class': 'patient'},
		};
	}

	return {
		name: bookingName, path: `/services/${demoService}/bookings`, body: {run: index}, headers: {'idempotency-key': `run-${index}`},
	};
}

async function runJob(
	url: string,
	job: Job,
	row: {succeeded: number; readonly firstByteMs: Histogram; readonly totalMs: Histogram},
): Promise<void> {
	const startedAt = performance.now();
	try {
		const response = await request(url + job.path, {
			method: 'POST',
			headers: {authorization: `Bearer ${demoKey}`, 'content-type': 'application/json', ...job.headers},
			body: JSON.stringify(job.body),
		});
		row.firstByteMs.recordValue(performance.now() - startedAt);
		const text = await response.body.text();
		row.totalMs.recordValue(performance.now() - startedAt);
		const isComplete = !job.name.includes('streamed') || text.endsWith('data: [DONE]\n\n');
		row.succeeded += response.statusCode === 200 && isComplete ? 1 : 0;
	} catch {
		// A failed request counts as sent but not as succeeded.
	}
}
