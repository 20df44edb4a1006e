import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Host} from '../../ports/host-list.ts';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults,
} from '../stand-in-server.ts';

/** Faults of the host list stand-in. */
export type HostsFaults = CommonFaults & {
	/** Time until a new list becomes visible, in milliseconds. */
	readonly lagMs: number;
};

type Revision = {readonly at: number; readonly hosts: readonly Host[]};

/** Stand-in for the host list: serves Prometheus HTTP service discovery with a configurable lag. */
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

	/** Latest list, also while the lag hides it from readers. */
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
		const visibleUntil = Date.now() - this.faults.lagMs;
		const visible = this.#revisions.findLast(revision => revision.at <= visibleUntil) ?? this.#revisions[0];
		return visible?.hosts ?? [];
	}
}

/** Converts a host into a target group of the Prometheus HTTP service-discovery JSON. */
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
