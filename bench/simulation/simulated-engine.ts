import {EngineModel} from '../../src/stand-ins/engine/engine-model.ts';
import type {EngineModelOptions} from '../../src/stand-ins/engine/engine-options.ts';
import type {EngineEvent, EngineRole, EngineWork} from '../../src/stand-ins/engine/engine-work.ts';
import type {EventScheduler} from './event-scheduler.ts';

/** An engine of the simulated fleet. */
export type EngineSpecification = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Model or plain service. @default 'model' */
	readonly group?: string;
	readonly options?: EngineModelOptions;
};

/** Receives what engines do, at the time at which it happens. */
export type EngineEventListener = (engine: SimulatedEngine, event: EngineEvent) => void;

/** An engine model that runs on a timeline. */
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

	/** Adds work; false when the engine takes none. */
	submit(work: EngineWork): boolean {
		const isAccepted = this.model.submit(this.#scheduler.now, work);
		this.#schedule();
		return isAccepted;
	}

	/** Drops a request; returns the tokens that it has generated. */
	cancel(id: string): number | undefined {
		const generated = this.model.cancel(this.#scheduler.now, id);
		this.#schedule();
		return generated;
	}

	/** Multiplies the time of each further step. */
	setSlowdown(factor: number): void {
		this.model.setSlowdown(this.#scheduler.now, factor);
		this.#schedule();
	}

	/** Drains the engine and changes its role. */
	changeRole(role: EngineRole): void {
		this.model.changeRole(this.#scheduler.now, role);
		this.#schedule();
	}

	/** Brings the model to the present. */
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
