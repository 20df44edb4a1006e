import type {Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {CrashNews} from '../crashes/crash-attribution.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {ServiceWork} from '../pool/service-work.ts';
import type {TableAnnouncement} from '../tables/table-sharing.ts';
import type {
	PeerLimit, PeerLoad, PeerPrefill, UpstreamStart,
} from './peer-message.ts';
import type {PeerMember} from './peer-topology.ts';

/** Options of the peer link. */
export type PeerLinkOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly table: Table;
	/** This daemon, with the address at which it receives datagrams. */
	readonly self: PeerMember;
	/** Returns this daemon's own load on all upstreams with work. */
	readonly ownLoads: () => readonly PeerLoad[];
	/** Returns the prompt tokens that are queued at this daemon, by priority. */
	readonly ownQueuedTokens: () => ReadonlyMap<number, number>;
	readonly onPrefills: (prefills: readonly PeerPrefill[]) => void;
	readonly onCrashNews: (news: CrashNews) => void;
	/** Returns the crash news that keep-alive messages repeat for daemons that have just started or missed it. */
	readonly repeatedCrashNews: (isRelay: boolean) => readonly CrashNews[];
	/** Returns the limits that upstreams named, with their use by this daemon. */
	readonly ownLimits: () => readonly PeerLimit[];
	readonly onLimits: (daemon: string, limits: readonly PeerLimit[]) => void;
	/** Returns the upstreams that this daemon knows to be leaving. */
	readonly ownLeaving: () => readonly UpstreamStart[];
	readonly onLeaving: (daemon: string, upstreams: readonly UpstreamStart[]) => void;
	/** Returns the state of the tables that this daemon reads from the store for the others. */
	readonly ownTables: () => readonly TableAnnouncement[];
	readonly onTables: (daemon: string, tables: readonly TableAnnouncement[]) => void;
	/** Returns the work that has arrived at this daemon. */
	readonly ownWork: () => readonly ServiceWork[];
	readonly onWork: (daemon: string, work: readonly ServiceWork[]) => void;
};
