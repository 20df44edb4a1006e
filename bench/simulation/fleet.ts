import {EngineModel} from '../../src/stand-ins/engine/engine-model.ts';
import type {EngineModelOptions} from '../../src/stand-ins/engine/engine-options.ts';
import type {EngineEvent, EngineRole, EngineWork} from '../../src/stand-ins/engine/engine-work.ts';
import type {Timeline} from './timeline.ts';

/** An engine of the simulated fleet. */
export type EngineSpecification = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Model or plain service. @default 'model' */
	readonly group?: string;
	readonly options?: EngineModelOptions;
};

/** Receives what engines do, at the time at which it happens. */
export type FleetListener = (engine: SimulatedEngine, event: EngineEvent) => void;

/** An engine model that runs on a timeline. */
export class SimulatedEngine {
	readonly id: string;
	readonly availabilityZone: string;
	readonly group: string;
	readonly model: EngineModel;
	readonly #timeline: Timeline;
	readonly #listener: FleetListener;
	#wakeAt = Infinity;

	constructor(timeline: Timeline, specification: EngineSpecification, listener: FleetListener) {
		this.#timeline = timeline;
		this.#listener = listener;
		this.id = specification.id;
		this.group = specification.group ?? 'model';
		this.availabilityZone = specification.availabilityZone;
		this.model = new EngineModel(specification.options);
	}

	/** Adds work; false when the engine takes none. */
	submit(work: EngineWork): boolean {
		const taken = this.model.submit(this.#timeline.now, work);
		this.#schedule();
		return taken;
	}

	/** Drops a request; returns the tokens that it has generated. */
	cancel(id: string): number | undefined {
		const generated = this.model.cancel(this.#timeline.now, id);
		this.#schedule();
		return generated;
	}

	/** Multiplies the time of each further step. */
	slow(factor: number): void {
		this.model.setSlowdown(this.#timeline.now, factor);
		this.#schedule();
	}

	/** Drains the engine and changes its role. */
	changeRole(role: EngineRole): void {
		this.model.changeRole(this.#timeline.now, role);
		this.#schedule();
	}

	/** Brings the model to the present. */
	refresh(): void {
		this.#handle();
	}

	#schedule(): void {
		const next = this.model.nextTime;
		if (next < this.#wakeAt) {
			this.#wakeAt = next;
			this.#timeline.at(next, () => {
				if (this.#wakeAt === next) {
					this.#wakeAt = Infinity;
					this.#handle();
				}
			});
		}
	}

	#handle(): void {
		for (const event of this.model.advance(this.#timeline.now)) {
			this.#listener(this, event);
		}

		this.#schedule();
	}
}
