import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {z} from 'zod';

/** State of a host in the list. */
export type HostState = 'live' | 'leaving';

/** A host of the deployment: an entry daemon, a model engine or a plain service. */
export type Host = {
	readonly kind: 'daemon' | 'engine' | 'service';
	/** IP and port on which it takes work; the peer address for a daemon. */
	readonly address: string;
	/** Name of the upstream or daemon. */
	readonly id: string;
	readonly availabilityZone: string;
	readonly state: HostState;
	/** Model of an engine, or name of a plain service. */
	readonly serves: string;
	/** True when the upstream refuses orders with an old fencing number. */
	readonly enforcesFencing: boolean;
};

/** Lagging list of live and leaving hosts. */
export abstract class HostList {
	/** Reads the list; a failure is a short message. */
	abstract read(): Promise<Either<string, readonly Host[]>>;
}

const readTimeoutMs = 2000;
const notModified = 304;

const targetGroupsSchema = z.array(z.object({
	targets: z.array(z.string()),
	labels: z.object({
		kind: z.enum(['daemon', 'engine', 'service']),
		id: z.string(),
		availability_zone: z.string(),
		state: z.enum(['live', 'leaving']).default('live'),
		serves: z.string().default(''),
		fencing: z.enum(['enforced', 'ignored']).default('ignored'),
	}),
}));

/** A list as last read, with the tag by which the server recognises it. */
type CachedHosts = {readonly etag: string; readonly hosts: readonly Host[]};

/** Host list behind the Prometheus HTTP service-discovery JSON; an unchanged list is not sent again. */
export class HttpHostList extends HostList {
	readonly #url: string;
	#cached: CachedHosts | undefined;

	constructor(url: string) {
		super();
		this.#url = url;
	}

	async read(): Promise<Either<string, readonly Host[]>> {
		try {
			const response = await request(this.#url, {
				signal: AbortSignal.timeout(readTimeoutMs),
				headers: this.#cached === undefined ? {} : {'if-none-match': this.#cached.etag},
			});
			if (response.statusCode === notModified && this.#cached !== undefined) {
				await response.body.dump();
				return Right(this.#cached.hosts);
			}

			const hosts = parseHosts(await response.body.json());
			const etag = response.headers.etag?.toString();
			this.#cached = etag === undefined ? undefined : {etag, hosts};
			return Right(hosts);
		} catch (error) {
			return Left(error instanceof Error ? error.message : String(error));
		}
	}
}

function parseHosts(document: unknown): readonly Host[] {
	return targetGroupsSchema.parse(document).flatMap(group => group.targets.map(address => ({
		kind: group.labels.kind,
		address,
		id: group.labels.id,
		availabilityZone: group.labels.availability_zone,
		state: group.labels.state,
		serves: group.labels.serves,
		enforcesFencing: group.labels.fencing === 'enforced',
	})));
}
