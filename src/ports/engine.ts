import {get} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {sendOrder} from '../connection/order-channel.ts';
import {parseAddress} from '../process/address.ts';
import {
	engineRoles, type EngineRole, type Order, type OrderOutcome,
} from './order.ts';

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
	/** Requests that run or wait now; unlike the load report, it does not lag. */
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

/** Access to the state of model engines. Each call opens a connection of its own. */
export abstract class Engine {
	/** Reads the state of the engine at an address; a failure is a short message. */
	abstract readState(address: string): Promise<Either<string, EngineState>>;

	/** Sends an order; the lease is checked between connecting and writing. */
	abstract sendOrder(address: string, order: Order, isAuthorized: () => boolean): Promise<OrderOutcome>;
}

const readTimeoutMs = 2000;

/** Engine over HTTP. */
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
