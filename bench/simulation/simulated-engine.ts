import {EngineModel} from '../../src/stand-ins/engine/engine-model.ts';
import type {EngineModelOptions} from '../../src/stand-ins/engine/engine-options.ts';
import type {EngineEvent, EngineRole, EngineWork} from '../../src/stand-ins/engine/engine-work.ts';
import type {EventScheduler} from './event-scheduler.ts';

/** Configuration of one simulated engine. */
export type EngineSpecification = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Model or plain service that the engine serves. @default 'model' */
	readonly group?: string;
	readonly options?: EngineModelOptions;
};

/** Called with each event of an engine, at the virtual time at which it happens. */
export type EngineEventListener = (engine: SimulatedEngine, event: EngineEvent) => void;

/** Runs an engine model on an event scheduler. */
export class SimulatedEngine {
	readonly id: string;
	readonly availabilityZone: string;
	readonly group: string;
	readonly model: EngineModel;
	readonly #scheduler: EventScheduler;
	readonly #listener: EngineEventListener;
	#wakeAt = Infinity;

	constructor(scheduler: EventScheduler, specification: EngineSpecification, listener: EngineEventListener) {
		this.#scheduler = scheduler;
		this.#listener = listener;
		this.id = specification.id;
		this.group = specification.group ?? 'model';
		this.availabilityZone = specification.availabilityZone;
		this.model = new EngineModel(specification.options);
	}

	/** Submits work; returns false when the engine accepts none, as during a role change. */
	submit(work: EngineWork): boolean {
		const isAccepted = this.model.submit(this.#scheduler.now, work);
		this.#schedule();
		return isAccepted;
	}

	/** Cancels a request; returns the tokens that it has generated, or undefined when the engine doesn't have it. */
	cancel(id: string): number | undefined {
		const generated = this.model.cancel(this.#scheduler.now, id);
		this.#schedule();
		return generated;
	}

	/** Multiplies the duration of each further step by a factor. */
	setSlowdown(factor: number): void {
		this.model.setSlowdown(this.#scheduler.now, factor);
		this.#schedule();
	}

	/** Changes the engine's role after its current work has finished; it accepts no work until the change ends. */
	changeRole(role: EngineRole): void {
		this.model.changeRole(this.#scheduler.now, role);
		this.#schedule();
	}

	/** Advances the model to the current virtual time and emits its events. */
	advance(): void {
		this.#processEvents();
	}

	#schedule(): void {
		const next = this.model.nextTime;
		if (next < this.#wakeAt) {
			this.#wakeAt = next;
			this.#scheduler.at(next, () => {
				if (this.#wakeAt === next) {
					this.#wakeAt = Infinity;
					this.#processEvents();
				}
			});
		}
	}

	#processEvents(): void {
		for (const event of this.model.advance(this.#scheduler.now)) {
			this.#listener(this, event);
		}

		this.#schedule();
	}
}
