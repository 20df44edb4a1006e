import type {News, Phase} from '../../generated/peer_pb.js';
import type {Random} from '../random.ts';

/** Liveness of a member as this daemon sees it. */
export type MemberCondition = 'alive' | 'suspect' | 'dead';

/** A daemon of the deployment as another daemon sees it. */
export type Member = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Base URL of the member's peer endpoint. */
	readonly peerUrl: string;
	/** Raised by each start; 0 until the member has been heard. */
	readonly incarnation: number;
	/** Highest heartbeat sequence known, directly or through others. */
	readonly sequence: number;
	readonly phase: Phase;
	readonly configurationVersion: number;
	readonly condition: MemberCondition;
	/** Time of the newest evidence of life, in milliseconds of this daemon's monotonic clock. */
	readonly evidenceAt: number;
};

/** Highest sequences known of other members; both lists have the same length. */
export type Digest = {
	/** Hashes of daemon ids. */
	readonly members: readonly number[];
	readonly sequences: readonly number[];
};

/** Content of a heartbeat and of its answer. */
export type Heartbeat = {
	readonly daemonId: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
	readonly sequence: number;
	readonly configurationVersion: number;
	readonly phase: Phase;
	readonly peerUrl: string;
	readonly digest: Digest;
	readonly news: readonly News[];
	/** In answers: the incarnation under which the answering daemon knows the sender. */
	readonly knownIncarnation?: number;
};

/** A heartbeat to be sent to a member. */
export type OutgoingHeartbeat = {
	readonly memberId: string;
	readonly peerUrl: string;
	readonly heartbeat: Heartbeat;
};

/** What the membership reports to the rest of the daemon. */
export type MembershipEvent
	= | {readonly kind: 'news'; readonly news: News}
		| {readonly kind: 'member'; readonly member: Member; readonly previous: MemberCondition | undefined}
		| {readonly kind: 'version'; readonly member: Member};

/** This daemon as it presents itself to its peers. */
export type MembershipOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly peerUrl: string;
	/** Milliseconds of wall time at start. */
	readonly incarnation: number;
	readonly random: Random;
};
