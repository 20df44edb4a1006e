import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {z} from 'zod';

/** State of a host in the list. */
export type HostState = 'live' | 'leaving';

/** A host of the deployment: an entry daemon, a model engine or a plain service. */
export type Host = {
	readonly kind: 'daemon' | 'engine' | 'service';
	/** IP and port that accept work; for a daemon, its peer address. */
	readonly address: string;
	/** Name of the upstream or daemon. */
	readonly id: string;
	readonly availabilityZone: string;
	readonly state: HostState;
	/** Model that an engine serves, or name of a plain service. */
	readonly serves: string;
	/** True when the upstream rejects orders with an outdated fencing number. */
	readonly enforcesFencing: boolean;
};

/** List of live and leaving hosts; it may lag behind the actual state. */
export abstract class HostList {
	/** Reads the list; a failure is an error message. */
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

/** Hosts of the last read, with the ETag for conditional requests. */
type CachedHosts = {readonly etag: string; readonly hosts: readonly Host[]};

/** Host list in the JSON format of Prometheus HTTP service discovery; an unchanged list is not transferred again. */
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
