import {get} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {parseAddress} from '../process/address.ts';

/** Kinds of work that an engine takes. */
export const engineRoles = ['prefill', 'decode', 'mixed'] as const;

/** Kind of work that an engine takes. */
export type EngineRole = (typeof engineRoles)[number];

/** Part of an engine's state that an order sets; absent fields stay as they are. */
export type WantedState = {
	readonly role?: EngineRole;
	readonly model?: string;
	readonly adapters?: readonly string[];
	readonly version?: string;
	/** True stops new work, false takes it again. */
	readonly drain?: boolean;
};

/** State that an engine reports. */
export type EngineState = {
	readonly role: EngineRole;
	readonly model: string;
	readonly adapters: readonly string[];
	readonly version: string;
	readonly draining: boolean;
	/** Highest fencing number seen since the engine started. */
	readonly fencing: number;
	/** Last order accepted since the engine started; empty when there is none. */
	readonly orderId: string;
	readonly phase: 'ready' | 'changing';
};

const engineState = z.object({
	role: z.enum(engineRoles),
	model: z.string(),
	adapters: z.array(z.string()),
	version: z.string(),
	draining: z.boolean().default(false),
	fencing: z.number(),
	orderId: z.string(),
	phase: z.enum(['ready', 'changing']),
});

/** Read access to model engines. Each read opens a connection of its own. */
export abstract class Engine {
	/** Reads the state of the engine at an address; a failure is a short message. */
	abstract readState(address: string): Promise<Either<string, EngineState>>;

	/** Reads the number of requests that run or wait at the engine; a failure is a short message. */
	abstract readInFlight(address: string): Promise<Either<string, number>>;
}

const readTimeoutMs = 2000;
const inFlightMetrics = new Set(['engine_running_requests', 'engine_waiting_requests']);

/** Engine over HTTP. */
export class HttpEngine extends Engine {
	async readState(address: string): Promise<Either<string, EngineState>> {
		return attempt(async () => engineState.parse(JSON.parse(await read(address, '/state'))));
	}

	async readInFlight(address: string): Promise<Either<string, number>> {
		return attempt(async () => parseInFlight(await read(address, '/metrics')));
	}
}

/** Sums the running and the waiting requests in Prometheus text; throws when the running ones are not reported. */
export function parseInFlight(text: string): number {
	const samples = text.split('\n').map(line => line.trim().split(/[\s\{]/v)).filter(([name]) => inFlightMetrics.has(name ?? ''));
	if (!samples.some(([name]) => name === 'engine_running_requests')) {
		throw new Error('the engine does not report its running requests');
	}

	return samples.reduce((sum, sample) => sum + Number(sample.at(-1)), 0);
}

async function attempt<Value>(produce: () => Promise<Value>): Promise<Either<string, Value>> {
	try {
		return Right(await produce());
	} catch (error) {
		return Left(error instanceof Error ? error.message : String(error));
	}
}

async function read(address: string, path: string): Promise<string> {
	const {promise, resolve, reject} = Promise.withResolvers<string>();
	const request = get({
		...parseAddress(address), path, agent: false, signal: AbortSignal.timeout(readTimeoutMs),
	}, response => {
		let text = '';
		response.setEncoding('utf8');
		response.on('data', (chunk: string) => {
			text += chunk;
		});
		response.once('error', reject);
		response.once('end', () => {
			if (response.statusCode === 200) {
				resolve(text);
			} else {
				reject(new Error(`${path} answered ${response.statusCode}`));
			}
		});
	});
	request.once('error', reject);
	return promise;
}
