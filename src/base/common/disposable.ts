/** Ownership of resources: the creator of a resource receives a disposable that releases it. */

/** An object that owns a resource until it is disposed. Disposing it again has no effect. */
export type Disposable = {
	readonly dispose: () => void;
};

/** Creates a disposable that runs `release` once. */
export function createDisposable(release: () => void): Disposable {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}

			isDisposed = true;
			release();
		},
	};
}

/** Combines disposables into one that disposes them in reverse order. */
export function joinDisposables(disposables: readonly Disposable[]): Disposable {
	return createDisposable(() => {
		disposables.toReversed().forEach(disposable => {
			disposable.dispose();
		});
	});
}

/** A disposable to which others can be added. Those that are added after it was disposed are disposed immediately. */
export type DisposableStore = Disposable & {
	readonly add: (disposable: Disposable) => void;
};

/** Creates an empty disposable store. */
export function createDisposableStore(): DisposableStore {
	const added: Disposable[] = [];
	let isOpen = true;
	return {
		add(disposable) {
			if (isOpen) {
				added.push(disposable);
				return;
			}

			disposable.dispose();
		},
		dispose() {
			isOpen = false;
			joinDisposables(added.splice(0)).dispose();
		},
	};
}
