/** Ownership of resources: whoever creates a resource receives a disposable that frees it. */

/** Something that holds a resource until it is disposed. Disposing twice has no further effect. */
export type Disposable = {
	readonly dispose: () => void;
};

/** Creates a disposable that runs `release` once. */
export function createDisposable(release: () => void): Disposable {
	let disposed = false;
	return {
		dispose() {
			if (disposed) {
				return;
			}

			disposed = true;
			release();
		},
	};
}

/** Joins disposables into one, released in reverse order of creation. */
export function joinDisposables(disposables: readonly Disposable[]): Disposable {
	return createDisposable(() => {
		disposables.toReversed().forEach(disposable => {
			disposable.dispose();
		});
	});
}

/** A disposable that resources can be added to while it is open; later additions are disposed at once. */
export type DisposableStore = Disposable & {
	readonly add: (disposable: Disposable) => void;
};

/** Creates an empty disposable store. */
export function createDisposableStore(): DisposableStore {
	const held: Disposable[] = [];
	let open = true;
	return {
		add(disposable) {
			if (open) {
				held.push(disposable);
				return;
			}

			disposable.dispose();
		},
		dispose() {
			open = false;
			joinDisposables(held.splice(0)).dispose();
		},
	};
}
