import {accessChangeReasons, stopReason} from '../../request/delivery/delivery.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {compareAccess, type Access, type AccessChange} from '../accounts/access.ts';

/** A request that has been taken and has not ended. */
export type TakenRequest = {
	readonly request: Pick<RouteRequest, 'id' | 'key'>;
	readonly route: Route;
	readonly access: Access;
	readonly arrivedAt: number;
	readonly callerDeadlineAt: number;
	/** Aborts the request. */
	readonly controller: AbortController;
	/** Aborts the request unless it has been sent. */
	readonly startController: AbortController;
};

/** Requests that have been taken and have not ended. */
export class TakenRequests {
	readonly #requests = new Set<TakenRequest>();

	/** Number of requests that have not ended. */
	get size(): number {
		return this.#requests.size;
	}

	/** Adds a request until the returned object is disposed. */
	track(taken: TakenRequest): Disposable {
		this.#requests.add(taken);
		return {
			[Symbol.dispose]: () => {
				this.#requests.delete(taken);
			},
		};
	}

	/** Stops further sends of the requests that cannot end before the daemon exits. */
	refuseUnsent(canEnd: (taken: TakenRequest) => boolean): void {
		for (const taken of this.#requests) {
			if (!canEnd(taken)) {
				taken.startController.abort(stopReason);
			}
		}
	}

	/** Ends all requests. */
	endAll(): void {
		for (const {controller} of this.#requests) {
			controller.abort(stopReason);
		}
	}

	/** Stops further sends of the requests whose access a newer configuration has changed; returns these requests. */
	endAccess(decide: (taken: TakenRequest) => Access): ReadonlyArray<{readonly taken: TakenRequest; readonly change: Exclude<AccessChange, 'kept'>}> {
		return [...this.#requests].flatMap(taken => {
			const change = compareAccess(taken.access, decide(taken));
			if (change === 'kept' || taken.startController.signal.aborted) {
				return [];
			}

			taken.startController.abort(accessChangeReasons[change]);
			return [{taken, change}];
		});
	}
}
