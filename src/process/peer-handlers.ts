import {create} from '@bufbuild/protobuf';
import type {PeerHandlers} from '../connection/peer-server.ts';
import {PullChangesResponseSchema} from '../generated/peer_pb.js';
import type {RecentDispatches} from './claims/recent-dispatches.ts';
import type {ConfigurationTask} from './configuration-task.ts';
import type {MembershipTask} from './membership-task.ts';
import type {StatusRegistry} from './status-registry.ts';

/** Components that answer peers; they are created after the peer server has been bound. */
export type PeerHandlerDependencies = {
	readonly membership: MembershipTask;
	readonly configuration: ConfigurationTask;
	readonly status: StatusRegistry;
	readonly dispatches: RecentDispatches;
};

/** Creates the handlers of the peer protocol; requests wait until the dependencies are available. */
export function createPeerHandlers(dependencies: Promise<PeerHandlerDependencies>): PeerHandlers {
	return {
		async heartbeat(request) {
			const {membership} = await dependencies;
			return membership.answer(request);
		},
		async pullChanges(sinceVersion) {
			const {configuration} = await dependencies;
			const {version, snapshot, entries} = configuration.differenceSince(sinceVersion);
			return create(PullChangesResponseSchema, {
				version: BigInt(version),
				snapshot,
				entries: entries.map(entry => ({...entry, version: BigInt(entry.version)})),
			});
		},
		async findClaim(name) {
			const {dispatches} = await dependencies;
			return dispatches.mayContain(name);
		},
		async status() {
			const {status} = await dependencies;
			return JSON.stringify(status.read());
		},
	};
}
