import {create} from '@bufbuild/protobuf';
import type {PeerHandlers} from '../connection/peer-server.ts';
import {PullChangesResponseSchema} from '../generated/peer_pb.js';
import type {RecentDispatches} from './claims/recent-dispatches.ts';
import type {ConfigurationTask} from './configuration-task.ts';
import type {MembershipTask} from './membership-task.ts';
import type {StatusRegistry} from './status-registry.ts';

/** Parts that answer peers; they are constructed after the peer server is bound. */
export type PeerHandlerDependencies = {
	readonly membership: MembershipTask;
	readonly configuration: ConfigurationTask;
	readonly status: StatusRegistry;
	readonly dispatches: RecentDispatches;
};

/** Connects the peer protocol to the parts that answer it. */
export function createPeerHandlers(answerers: Promise<PeerHandlerDependencies>): PeerHandlers {
	return {
		async heartbeat(request) {
			const {membership} = await answerers;
			return membership.answer(request);
		},
		async pullChanges(sinceVersion) {
			const {configuration} = await answerers;
			const {version, snapshot, entries} = configuration.differenceSince(sinceVersion);
			return create(PullChangesResponseSchema, {
				version: BigInt(version),
				snapshot,
				entries: entries.map(entry => ({...entry, version: BigInt(entry.version)})),
			});
		},
		async findClaim(name) {
			const {dispatches} = await answerers;
			return dispatches.mayContain(name);
		},
		async status() {
			const {status} = await answerers;
			return JSON.stringify(status.read());
		},
	};
}
