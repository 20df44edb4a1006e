import type {News, Phase} from '../../generated/peer_pb.js';
import type {Random} from '../random.ts';

/** Liveness of a member from the view of this daemon. */
export type MemberCondition = 'alive' | 'suspect' | 'dead';

/** A daemon of the deployment from the view of another daemon. */
export type Member = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Base URL of the member's peer endpoint. */
	readonly peerUrl: string;
	/** Higher after each start of the member; 0 until a heartbeat of it was received. */
	readonly incarnation: number;
	/** Highest known heartbeat sequence, received directly or through other members. */
	readonly sequence: number;
	readonly phase: Phase;
	readonly configurationVersion: number;
	readonly condition: MemberCondition;
	/** Time of the latest evidence that the member is alive, in milliseconds of this daemon's monotonic clock. */
	readonly evidenceAt: number;
};

/** Highest known sequences of other members; both lists have the same length. */
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

/** A heartbeat to send to a member. */
export type OutgoingHeartbeat = {
	readonly memberId: string;
	readonly peerUrl: string;
	readonly heartbeat: Heartbeat;
};

/** Event that the membership reports to the rest of the daemon. */
export type MembershipEvent
	= | {readonly kind: 'news'; readonly news: News}
		| {readonly kind: 'member'; readonly member: Member; readonly previous: MemberCondition | undefined}
		| {readonly kind: 'version'; readonly member: Member};

/** Identity of this daemon as its heartbeats carry it, and its source of random numbers. */
export type MembershipOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly peerUrl: string;
	/** Wall-clock time at the start of the process, in milliseconds. */
	readonly incarnation: number;
	readonly random: Random;
};
