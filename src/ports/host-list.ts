import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {z} from 'zod';
import {readBoundedText} from '../connection/bounded-body.ts';
import {platformAgent} from '../connection/guarded-agent.ts';
import {isHostAddress} from '../process/address.ts';

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
	/** Items of the last list that were dropped, because they cannot be used. */
	get droppedItems(): number {
		return 0;
	}

	/** Reads the list; a failure is an error message. */
	abstract read(): Promise<Either<string, readonly Host[]>>;
}

const readTimeoutMs = 2000;
/** Largest list, in bytes; one of 12,000 hosts takes a quarter of it. */
const maxListBytes = 16 * 1024 * 1024;
const notModified = 304;

const documentSchema = z.array(z.unknown());

const targetGroupSchema = z.object({
	targets: z.array(z.string()),
	labels: z.object({
		kind: z.enum(['daemon', 'engine', 'service']),
		id: z.string(),
		availability_zone: z.string(),
		state: z.enum(['live', 'leaving']).default('live'),
		serves: z.string().default(''),
		fencing: z.enum(['enforced', 'ignored']).default('ignored'),
	}),
});

/** Hosts of the last read, with the ETag for conditional requests. */
type CachedHosts = {readonly etag: string; readonly hosts: readonly Host[]};

/** Hosts of a list, and the number of its items that cannot be used. */
type ParsedHosts = {readonly hosts: readonly Host[]; readonly droppedItems: number};

/** Host list in the JSON format of Prometheus HTTP service discovery; an unchanged list is not transferred again. */
export class HttpHostList extends HostList {
	readonly #url: string;
	#cached: CachedHosts | undefined;
	#droppedItems = 0;

	constructor(url: string) {
		super();
		this.#url = url;
	}

	override get droppedItems(): number {
		return this.#droppedItems;
	}

	async read(): Promise<Either<string, readonly Host[]>> {
		try {
			const response = await request(this.#url, {
				signal: AbortSignal.timeout(readTimeoutMs),
				dispatcher: platformAgent,
				headers: this.#cached === undefined ? {} : {'if-none-match': this.#cached.etag},
			});
			if (response.statusCode === notModified && this.#cached !== undefined) {
				await response.body.dump();
				return Right(this.#cached.hosts);
			}

			const {hosts, droppedItems} = parseHosts(JSON.parse(await readBoundedText(response.body, maxListBytes)));
			this.#droppedItems = droppedItems;
			if (hosts.length === 0 && droppedItems > 0) {
				return Left('no item of the host list can be used');
			}

			const etag = response.headers.etag?.toString();
			this.#cached = etag === undefined ? undefined : {etag, hosts};
			return Right(hosts);
		} catch (error) {
			return Left(error instanceof Error ? error.message : String(error));
		}
	}
}

/** Drops each item that cannot be used by itself, because one of them must not keep the others from being followed. */
function parseHosts(document: unknown): ParsedHosts {
	const items = documentSchema.parse(document).flatMap((item): ReadonlyArray<Host | undefined> => {
		const {data: group} = targetGroupSchema.safeParse(item);
		return group === undefined ? [undefined] : group.targets.map(address => isHostAddress(address) ? toHost(address, group.labels) : undefined);
	});
	const hosts = items.filter(host => host !== undefined);
	return {hosts, droppedItems: items.length - hosts.length};
}

function toHost(address: string, labels: z.infer<typeof targetGroupSchema>['labels']): Host {
	return {
		kind: labels.kind,
		address,
		id: labels.id,
		availabilityZone: labels.availability_zone,
		state: labels.state,
		serves: labels.serves,
		enforcesFencing: labels.fencing === 'enforced',
	};
}
