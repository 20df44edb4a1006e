import type {Table} from '../../ports/table.ts';
import {isHostAddress} from '../address.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {PeerMember} from './peer-topology.ts';

/** Options of the peer directory. */
export type PeerDirectoryOptions = {
	readonly table: Table;
	readonly log: DecisionLog;
	readonly self: PeerMember;
	/** `isRegistered` is true if an entry of this daemon was there already. */
	readonly onMembers: (members: readonly PeerMember[], isRegistered: boolean) => void;
};

/** Delay before a retry after the entries could not be read or the own one not written, in milliseconds. */
const retryDelayMs = 1000;
/** Delay before the second read, in milliseconds; by then all daemons that started together have written their entries. */
const secondReadDelayMs = 3000;
/** Interval of all later reads, in milliseconds. Daemons learn of each other by datagrams; these reads only serve a host that was cut off. */
const refreshIntervalMs = 60_000;
const partition = 'daemons';

/** Entries of all daemons in the platform's table, by which a daemon that has just started finds the others. */
export class PeerDirectory implements AsyncDisposable {
	readonly #options: PeerDirectoryOptions;
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(options: PeerDirectoryOptions) {
		this.#options = options;
	}

	/** Registers this daemon and reads the entries of the others. */
	start(): void {
		void this.#refresh(secondReadDelayMs);
	}

	/** Reads the entries again after a delay in milliseconds, and writes the own one again if it is missing. */
	refreshAfter(delayMs: number): void {
		if (this.#timer !== undefined && !this.#isClosed) {
			clearTimeout(this.#timer);
			this.#timer = setTimeout(() => {
				void this.#refresh(refreshIntervalMs);
			}, delayMs);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#timer);
	}

	/** Reads the entries, retrying until that succeeds, and reads them again `nextReadDelayMs` later. */
	async #refresh(nextReadDelayMs: number): Promise<void> {
		const isSuccessful = await this.#readEntries();
		if (!this.#isClosed) {
			this.#timer = setTimeout(() => {
				void this.#refresh(isSuccessful ? refreshIntervalMs : nextReadDelayMs);
			}, isSuccessful ? nextReadDelayMs : retryDelayMs);
		}
	}

	async #readEntries(): Promise<boolean> {
		const {table, self, onMembers, log} = this.#options;
		const rows = await table.query(partition);
		return rows.caseOf({
			async Left(failure) {
				log.write('peers.notRegistered', {cause: failure.kind});
				return false;
			},
			Right: async found => {
				const own = found.find(({key}) => key.sort === self.daemon);
				onMembers(found.flatMap(({key, body}) => decodeMember(key.sort, body)).filter(({daemon}) => daemon !== self.daemon), own !== undefined);
				return own?.body === encodeMember(self) || this.#writeEntry(own?.revision ?? 0);
			},
		});
	}

	async #writeEntry(expected: number): Promise<boolean> {
		const {table, self, log} = this.#options;
		const written = await table.write([{
			kind: 'put', key: {partition, sort: self.daemon}, expected, body: encodeMember(self),
		}]);
		return written.caseOf({
			Left(failure) {
				log.write('peers.notRegistered', {cause: failure.kind});
				return false;
			},
			Right: () => true,
		});
	}
}

function encodeMember({address, availabilityZone, linkMbps}: PeerMember): string {
	return [address, availabilityZone, linkMbps].join(' ');
}

/** Decodes an entry; another writer may have left one that cannot be used. */
function decodeMember(daemon: string, body: string): readonly PeerMember[] {
	const [address, availabilityZone, link] = body.split(' ');
	const linkMbps = Number(link);
	return address === undefined || !isHostAddress(address) || availabilityZone === undefined || !Number.isFinite(linkMbps) || linkMbps <= 0
		? []
		: [{
			daemon, address, availabilityZone, linkMbps,
		}];
}
