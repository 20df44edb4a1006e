import {get} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {readBoundedText} from '../connection/bounded-body.ts';
import {sendOrder} from '../connection/order-channel.ts';
import {parseAddress} from '../process/address.ts';
import {
	engineRoles, type EngineRole, type Order, type OrderOutcome,
} from './order.ts';

/** State reported by an engine. */
export type EngineState = {
	readonly role: EngineRole;
	readonly model: string;
	readonly adapters: readonly string[];
	readonly version: string;
	readonly draining: boolean;
	/** Highest fencing number that the engine has seen since it started. */
	readonly fencing: number;
	/** ID of the last order accepted since the engine started; empty if there is none. */
	readonly orderId: string;
	readonly phase: 'ready' | 'changing';
	/** Requests running or waiting at the time of the read; unlike the load report, this value does not lag. */
	readonly inFlight: number;
};

const engineStateSchema = z.object({
	role: z.enum(engineRoles),
	model: z.string(),
	adapters: z.array(z.string()),
	version: z.string(),
	draining: z.boolean().default(false),
	fencing: z.number(),
	orderId: z.string(),
	phase: z.enum(['ready', 'changing']),
	inFlight: z.number(),
});

/** Client for the state and the orders of model engines. Each call opens its own connection. */
export abstract class Engine {
	/** Reads the state of the engine at an address; a failure is an error message. */
	abstract readState(address: string): Promise<Either<string, EngineState>>;

	/** Sends an order; `isAuthorized` checks the lease after the connection is established and before the order is written. */
	abstract sendOrder(address: string, order: Order, isAuthorized: () => boolean): Promise<OrderOutcome>;
}

const readTimeoutMs = 2000;
/** Largest state of an engine, in bytes; it is a short JSON object. */
const maxStateBytes = 64 * 1024;

/** Client for model engines over HTTP. */
export class HttpEngine extends Engine {
	async readState(address: string): Promise<Either<string, EngineState>> {
		try {
			return Right(engineStateSchema.parse(JSON.parse(await fetchText(address, '/state'))));
		} catch (error) {
			return Left(error instanceof Error ? error.message : String(error));
		}
	}

	async sendOrder(address: string, order: Order, isAuthorized: () => boolean): Promise<OrderOutcome> {
		return sendOrder(address, order, {isAuthorized});
	}
}

async function fetchText(address: string, path: string): Promise<string> {
	const {promise, resolve, reject} = Promise.withResolvers<string>();
	const request = get({
		...parseAddress(address), path, agent: false, signal: AbortSignal.timeout(readTimeoutMs),
	}, response => {
		readBoundedText(response, maxStateBytes).then(text => {
			if (response.statusCode === 200) {
				resolve(text);
			} else {
				reject(new Error(`${path} responded with status ${response.statusCode}`));
			}
		}, reject);
	});
	request.once('error', reject);
	return promise;
}
