import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Host} from '../../ports/host-list.ts';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults,
} from '../stand-in-server.ts';

/** Faults of the host list. */
export type HostsFaults = CommonFaults & {
	/** Age of the list that is given out, in milliseconds. */
	readonly lagMs: number;
};

type Revision = {readonly at: number; readonly hosts: readonly Host[]};

/** Stand-in for the host list: Prometheus HTTP service discovery, with a lag. */
export class HostsServer extends StandInServer<HostsFaults> {
	#revisions: readonly Revision[] = [];

	constructor(hosts: readonly Host[] = []) {
		super({...noFaults, lagMs: 0});
		this.setHosts(hosts);
	}

	/** Replaces the list; readers see it after the lag. */
	setHosts(hosts: readonly Host[]): void {
		this.#revisions = [...this.#revisions, {at: Date.now(), hosts}];
	}

	/** Newest list, without the lag. */
	get hosts(): readonly Host[] {
		return this.#revisions.at(-1)?.hosts ?? [];
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'PUT') {
			this.setHosts(JSON.parse(await readText(request)) as readonly Host[]);
		}

		const body = this.#visibleHosts().map(host => toTargetGroup(host));
		const etag = `"${createHash('sha256').update(JSON.stringify(body)).digest('base64url')}"`;
		sendAnswer(response, request.headers['if-none-match'] === etag
			? {status: 304, headers: {etag}}
			: {status: 200, headers: {etag}, body});
	}

	#visibleHosts(): readonly Host[] {
		const limit = Date.now() - this.faults.lagMs;
		const visible = this.#revisions.findLast(revision => revision.at <= limit) ?? this.#revisions[0];
		return visible?.hosts ?? [];
	}
}

/** Converts a host to an entry of the Prometheus HTTP service-discovery JSON. */
export function toTargetGroup(host: Host): Record<string, unknown> {
	return {
		targets: [host.address],
		labels: {
			kind: host.kind,
			id: host.id,
			availability_zone: host.availabilityZone,
			state: host.state,
			serves: host.serves,
			fencing: host.enforcesFencing ? 'enforced' : 'ignored',
		},
	};
}
