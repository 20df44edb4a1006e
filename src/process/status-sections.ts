import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {Phase} from '../generated/peer_pb.js';
import type {Settings} from '../version/settings.ts';
import type {ConfigurationTask} from './configuration-task.ts';
import type {HostListPoller} from './host-list-poller.ts';
import type {Lifecycle} from './lifecycle.ts';
import type {MembershipTask} from './membership-task.ts';
import type {StatusRegistry} from './status-registry.ts';
import type {UpstreamDirectory} from './upstream-directory.ts';

/** Components whose state the status shows. */
export type StatusSources = {
	readonly settings: Settings;
	readonly hostList: HostListPoller;
	readonly directory: UpstreamDirectory;
	readonly membership: MembershipTask;
	readonly lifecycle: Lifecycle;
	readonly configuration: ConfigurationTask;
};

/** Adds the status sections that every daemon has. */
export function addStatusSections(status: StatusRegistry, sources: StatusSources): void {
	const {settings, hostList, directory, membership, lifecycle, configuration} = sources;
	status.addSection('daemon', () => ({
		id: settings.daemon.id,
		availabilityZone: settings.daemon['availability-zone'],
		incarnation: membership.incarnation,
		phase: lifecycle.phase,
		residentBytes: process.memoryUsage.rss(),
	}));
	status.addSection('configuration', () => ({version: configuration.version}));
	status.addSection('hosts', () => ({
		listAgeMs: hostList.readAt === undefined ? undefined : Math.round(performance.now() - hostList.readAt),
		members: membership.members.map(({id, availabilityZone, condition, phase, incarnation, configurationVersion, peerUrl}) => ({
			id, availabilityZone, condition, phase: Phase[phase].toLowerCase(), incarnation, configurationVersion, peerUrl,
		})),
	}));
	status.addSection('upstreams', () => directory.upstreams.map(({id, kind, serves, availabilityZone, address, state}) => ({
		id, kind, serves, availabilityZone, address, state,
	})));
	status.addSection('refused', () => describeRefusals(sources));
}

/** Describes what this daemon currently refuses, and why. */
function describeRefusals({hostList, directory, lifecycle, configuration}: StatusSources): ReadonlyArray<{readonly what: string; readonly why: string}> {
	const refusals = [];
	if (!configuration.isLoaded) {
		refusals.push({what: 'all requests', why: 'No configuration has been read.'});
	}

	if (hostList.hosts.length === 0) {
		refusals.push({what: 'all requests', why: 'No host list has been read.'});
	}

	if (lifecycle.phase === 'draining') {
		refusals.push({what: 'new connections', why: 'The daemon drains.'});
	}

	const upstreamsByName = Map.groupBy(directory.upstreams, upstream => `${upstream.kind} ${upstream.serves}`);
	for (const [name, upstreams] of upstreamsByName) {
		if (upstreams.every(upstream => upstream.state === 'leaving')) {
			refusals.push({what: name, why: 'All its upstreams are leaving.'});
		}
	}

	return refusals;
}
