# Enables admission control under overload; see docs/admission.md. Other policy
# settings may be added here.
admission = True
