import {randomUUID} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import type {ObjectStore} from '../../ports/object-store.ts';
import type {
	Row, RowKey, StoreFailure, Table,
} from '../../ports/table.ts';
import type {CallerError} from '../../request/caller-error.ts';
import {
	Claim, ClaimStore, type ClaimResult, type ClaimRequest, type StoredAnswer,
} from '../../request/claim-store.ts';
import {
	claimLifetimeMs, parseClaimRecord, encodeStoredAnswer, resolveClaim, decodeStoredAnswer, type ClaimContext, type ClaimPhase, type ClaimRecord, type ClaimResolution, type RecordedAnswer,
} from '../../request/claim.ts';
import type {RecentDispatches} from './recent-dispatches.ts';
import type {DispatchLookup} from './dispatch-lookup.ts';
import type {ClaimSettler, Settlement} from './claim-settler.ts';
import type {WriteBatcher} from './write-batcher.ts';

/** Safety checks of the claim store; tests disable single checks to show which failure each one prevents. */
export type ClaimGuards = {
	/** Resolves an unknown write outcome by the token in the row instead of assuming success. */
	readonly readsBackByToken: boolean;
	/** Releases a claim before the caller is told that the request did not run. */
	readonly releasesClaims: boolean;
	/** Fences a claim whose write may still be applied, in the background. */
	readonly fencesAmbiguousClaims: boolean;
	/** Asks the other daemons before the caller is told that the request did not run. */
	readonly asksPeers: boolean;
};

/** What the store needs from the rest of the daemon. */
export type PlatformClaimStoreOptions = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly batcher: WriteBatcher;
	readonly settler: ClaimSettler;
	/** Name of this daemon process; differs from the names of its earlier processes. */
	readonly daemon: string;
	readonly isLive: (daemon: string) => boolean;
	/** Wall time in milliseconds. */
	readonly now: () => number;
	/** @default a random UUID */
	readonly createToken?: () => string;
	/** Names of the claims that this daemon may have dispatched. */
	readonly dispatches: RecentDispatches;
	/** Consulted before the caller is told that the request did not run, if the claim's row could not be written or read. */
	readonly dispatchLookup: DispatchLookup;
	readonly guards?: ClaimGuards;
};

const maxClaimAttempts = 4;
const allGuards: ClaimGuards = {
	readsBackByToken: true, releasesClaims: true, fencesAmbiguousClaims: true, asksPeers: true,
};

/** Keeps claims in the platform's table; refuses requests with status 503 if the table fails or a row is malformed. */
export class PlatformClaimStore extends ClaimStore {
	readonly #options: PlatformClaimStoreOptions;
	readonly #guards: ClaimGuards;

	constructor(options: PlatformClaimStoreOptions) {
		super();
		this.#options = options;
		this.#guards = options.guards ?? allGuards;
	}

	async claim(request: ClaimRequest): Promise<Either<CallerError, ClaimResult>> {
		const key = toClaimKey(request);
		const record = this.#createRecord(request);
		let revision = 0;
		let isAmbiguous = false;
		for (let attempt = 0; attempt < maxClaimAttempts; attempt += 1) {
			const outcome = await this.#options.batcher.submit({
				kind: 'put', key, expected: revision, body: JSON.stringify(record),
			});
			if (outcome === 'written' || (outcome === 'unknown' && !this.#guards.readsBackByToken)) {
				return Right(this.#grant({key, record, revision: revision + 1}));
			}

			isAmbiguous ||= outcome === 'unknown';
			const resolution = outcome === 'unavailable' ? undefined : await this.#readResolution(key, record);
			if (resolution === undefined) {
				break;
			}

			if (resolution.kind !== 'free') {
				return this.#resolve({key, record, revision}, resolution);
			}

			revision = resolution.revision;
		}

		if (isAmbiguous && this.#guards.fencesAmbiguousClaims) {
			this.#options.settler.defer({key, record: {...record, phase: 'released'}, revision});
		}

		return Left(await this.#createRefusal(key));
	}

	#createRecord({digest}: ClaimRequest): ClaimRecord {
		const {daemon, createToken = randomUUID, now} = this.#options;
		return {
			daemon, token: createToken(), digest, phase: 'claimed', expiresAt: now() + claimLifetimeMs,
		};
	}

	/** Reads the row back and resolves it; returns `undefined` if it cannot be read. */
	async #readResolution(key: RowKey, {digest, token}: ClaimRecord): Promise<ClaimResolution | undefined> {
		const {table, isLive, now} = this.#options;
		const result = await readSafely(table, key);
		const context: ClaimContext = {
			digest, token, now: now(), isLive,
		};
		return result.map(row => row === undefined ? resolveClaim(undefined, context) : resolveRow(row, context)).toMaybe().extract();
	}

	async #resolve(
		settlement: Settlement,
		resolution: Exclude<ClaimResolution, {kind: 'free'}>,
	): Promise<Either<CallerError, ClaimResult>> {
		switch (resolution.kind) {
			case 'own': {
				return Right(this.#grant({...settlement, revision: resolution.revision}));
			}

			case 'answered': {
				return this.#loadAnswer(resolution.answer);
			}

			case 'refused': {
				return Left(resolution.error);
			}
		}
	}

	async #loadAnswer(answer: RecordedAnswer): Promise<Either<CallerError, ClaimResult>> {
		if (answer.object === undefined) {
			return Right({kind: 'answered', answer: decodeStoredAnswer(answer)});
		}

		const object = await this.#options.objects.get(answer.object);
		const body = object.toMaybe().extract()?.body;
		return body === undefined
			? Left(answerUnavailableRefusal)
			: Right({kind: 'answered', answer: decodeStoredAnswer(answer, body)});
	}

	#grant(settlement: Settlement): ClaimResult {
		const name = settlement.key.sort;
		const {settler, dispatches} = this.#options;
		dispatches.add(name);
		return {
			kind: 'granted',
			claim: new PlatformClaim(settlement, settler, async () => {
				dispatches.remove(name);
				await (this.#guards.releasesClaims ? settler.settle(withPhase(settlement, 'released')) : undefined);
			}),
		};
	}

	/** Refuses a request that was not dispatched; an earlier request with the same key may still have run, on this daemon or another. */
	async #createRefusal({sort}: RowKey): Promise<CallerError> {
		const {dispatches, dispatchLookup} = this.#options;
		const mayHaveRun = dispatches.mayContain(sort)
			|| (this.#guards.asksPeers && await dispatchLookup.mayHaveDispatched(sort));
		return {
			status: 503,
			code: 'claims_unavailable',
			message: 'The request cannot be claimed now.',
			ran: mayHaveRun ? 'unknown' : 'no',
			retryAfterS: 1,
		};
	}
}

/** A claim that this daemon holds. */
class PlatformClaim extends Claim {
	readonly #settlement: Settlement;
	readonly #settler: ClaimSettler;
	readonly #release: () => Promise<void>;

	constructor(settlement: Settlement, settler: ClaimSettler, release: () => Promise<void>) {
		super();
		this.#settlement = settlement;
		this.#settler = settler;
		this.#release = release;
	}

	async complete(stored: StoredAnswer): Promise<void> {
		const {key, record} = this.#settlement;
		const answer = encodeStoredAnswer(stored, `answer/${key.sort}/${record.token}`);
		const settlement = withPhase(this.#settlement, 'done', answer);
		await this.#settler.settle(answer.object === undefined ? settlement : {...settlement, objectBody: stored.body});
	}

	async release(): Promise<void> {
		await this.#release();
	}

	async abandon(): Promise<void> {
		await this.#settler.settle(withPhase(this.#settlement, 'unknown'));
	}
}

/** The row was written by another version or is corrupt; its request may have run. */
const malformedClaimRefusal: CallerError = {
	status: 503, code: 'claims_unavailable', message: 'The claim of this request cannot be read.', ran: 'unknown', retryAfterS: 1,
};

function resolveRow({revision, body}: Row, context: ClaimContext): ClaimResolution {
	return Either.encase(() => parseClaimRecord(body)).caseOf<ClaimResolution>({
		Left: () => ({kind: 'refused', error: malformedClaimRefusal}),
		Right: record => resolveClaim({revision, record}, context),
	});
}

const answerUnavailableRefusal: CallerError = {
	status: 503, code: 'answer_unavailable', message: 'The request has run; its answer cannot be read now.', ran: 'yes', retryAfterS: 1,
};

function withPhase(settlement: Settlement, phase: ClaimPhase, answer?: RecordedAnswer): Settlement {
	return {...settlement, record: {...settlement.record, phase, ...(answer === undefined ? {} : {answer})}};
}

/** Returns the row key of a claim. Customer names contain no "/", so two customers never share a row. */
export function toClaimKey({customer, idempotencyKey}: Pick<ClaimRequest, 'customer' | 'idempotencyKey'>): RowKey {
	return {partition: 'claim', sort: `${customer}/${idempotencyKey}`};
}

async function readSafely(table: Table, key: RowKey) {
	try {
		return await table.get(key);
	} catch (error) {
		return Left<StoreFailure>({kind: 'unknown', message: String(error)});
	}
}
